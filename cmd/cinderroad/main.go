// Command cinderroad is one dispatcher: it takes jobs from clients, sends each to a backend that the decisions
// of package brain choose, and gives every job one final answer.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/program"
)

// linesPerSecond is how often one message is logged within a second.
const linesPerSecond = 50

func main() {
	configPath := flag.String("config", os.Getenv("ROUTER_CONFIG"), "configuration file (JSON)")
	gearmanPath := flag.String("gearman", "", "operator's file (TOML) that turns the Gearman front on")
	graphite := flag.String("graphite", "", "address of a Graphite server for the figures")
	collectd := flag.String("collectd", "", "path of collectd's unix socket for the figures")
	every := flag.Float64("metrics-every", 10, "seconds between the figures")
	level := zap.LevelFlag("log", zapcore.InfoLevel, "log level: debug, info, warn or error")
	flag.Parse()
	config, err := program.ReadConfig(*configPath, os.Getenv)
	if err == nil && *gearmanPath != "" {
		err = config.ReadGearman(*gearmanPath)
	}
	if err == nil {
		err = config.SetMetrics(*graphite, *collectd, *every)
	}
	if err == nil {
		err = run(config, *level)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cinderroad:", err)
		os.Exit(1)
	}
}

func run(config *program.Config, level zapcore.Level) error {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoder), zapcore.Lock(os.Stderr), level)
	// A peer that sends nonsense without end must not have the log written without end.
	log := zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0))
	return program.Run(config, log)
}
