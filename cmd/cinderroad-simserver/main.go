// Command benchlink runs the decisions of package brain on the simulator's wire: batches on standard
// input, one reply each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"cinderroad/internal/dispatcher/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader, host, w := simwire.NewReader(in), simwire.NewHost(), bufio.NewWriterSize(out, 1<<16)
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
		if _, err := w.Write(reply); err != nil {
			return fmt.Errorf("benchlink: write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("benchlink: flush reply: %w", err)
		}
	}
}
