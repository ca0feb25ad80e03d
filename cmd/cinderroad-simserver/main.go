// Command cinderroad-simserver runs the dispatcher's load balancers for a simulator: it reads batches of events from standard
// input and writes one reply for each to standard output (package simwire). It ends with its input; on a malformed batch it
// reports where on standard error and exits with status 1. With --version it prints its version instead.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"cinderroad/internal/dispatcher/simwire"
	"cinderroad/internal/shared/release"
)

// outputBuffer is the size in bytes of the buffer of a reply.
const outputBuffer = 1 << 16

func main() {
	if len(os.Args) == 2 && os.Args[1] == "--version" {
		fmt.Println(release.Name())
		return
	}
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(input io.Reader, output io.Writer) error {
	reader := simwire.NewReader(input)
	host := simwire.NewHost()
	writer := bufio.NewWriterSize(output, outputBuffer)
	for {
		frame, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := host.HandleFrame(frame)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return fmt.Errorf("cinderroad-simserver: write reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("cinderroad-simserver: flush reply: %w", err)
		}
	}
}
