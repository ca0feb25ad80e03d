// Command cinderroad is one dispatcher: it takes jobs from clients, sends each to a backend that the decisions
// of package brain choose, and gives every job one final answer.
package main

import (
	"flag"
	"fmt"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/program"
)

func main() {
	configPath := flag.String("config", os.Getenv("ROUTER_CONFIG"), "configuration file (JSON)")
	gearmanPath := flag.String("gearman", "", "operator's file (TOML) that turns the Gearman front on")
	level := zap.LevelFlag("log", zapcore.InfoLevel, "log level: debug, info, warn or error")
	flag.Parse()
	if err := run(*configPath, *gearmanPath, *level); err != nil {
		fmt.Fprintln(os.Stderr, "cinderroad:", err)
		os.Exit(1)
	}
}

func run(configPath, gearmanPath string, level zapcore.Level) error {
	config, err := program.ReadConfig(configPath, os.Getenv)
	if err != nil {
		return err
	}
	if gearmanPath != "" {
		if err := config.ReadGearman(gearmanPath); err != nil {
			return err
		}
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(encoder), zapcore.Lock(os.Stderr), level))
	return program.Run(config, log)
}
