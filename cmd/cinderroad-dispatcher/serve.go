package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/dispatcher/server"
)

// maxRepeatsPerSecond is how often one message is logged within a second; further repeats are dropped.
const maxRepeatsPerSecond = 50

// serveOptions holds the flags of the commands serve and check.
type serveOptions struct {
	configPath, gearmanPath, logLevel string
	shorthand                         server.Shorthand
}

// addFlags adds the flags, with their defaults, in the order in which the help lists them.
func (o *serveOptions) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.SortFlags = false
	f.StringVar(&o.configPath, "config", os.Getenv("ROUTER_CONFIG"), "configuration `FILE` (JSON); default: $ROUTER_CONFIG")
	f.StringVar(&o.shorthand.Operator, "operator", "", "operator's `FILE` (TOML); example: deploy/operator.toml")
	f.StringVar(&o.gearmanPath, "gearman", "", "`FILE` (TOML) that enables the Gearman front; example: deploy/gearman.toml")
	f.StringVar(&o.shorthand.Graphite, "graphite", "", "`ADDRESS` of a Graphite receiver, in addition to the operator's file")
	f.StringVar(&o.shorthand.Collectd, "collectd", "", "`PATH` of collectd's Unix socket, in addition to the operator's file")
	f.Float64Var(&o.shorthand.Interval, "metrics-every", 0,
		"`SECONDS` between metrics reports; default: every_s of the operator's file, or 10")
	f.StringVar(&o.logLevel, "log", "info", "log `LEVEL`: debug, info, warn or error")
}

// readConfig reads all files that the flags name.
func (o *serveOptions) readConfig() (*server.Config, error) {
	config, err := server.ReadConfig(o.configPath, os.Getenv)
	if err == nil && o.gearmanPath != "" {
		err = config.ReadGearman(o.gearmanPath)
	}
	if err == nil {
		err = config.ReadOperator(o.shorthand)
	}
	return config, err
}

// run serves until the dispatcher is told to stop.
func (o *serveOptions) run(*cobra.Command, []string) error {
	level, err := zapcore.ParseLevel(o.logLevel)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	config, err := o.readConfig()
	if err != nil {
		return err
	}
	return server.Run(config, newLogger(os.Stderr, level))
}

// check prints the configuration that would be in force.
func (o *serveOptions) check(c *cobra.Command, _ []string) error {
	config, err := o.readConfig()
	if err != nil {
		return err
	}
	return config.Describe(c.OutOrStdout())
}

// newLogger returns a logger that writes lines for humans.
func newLogger(out io.Writer, level zapcore.Level) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoder), zapcore.Lock(zapcore.AddSync(out)), level)
	// A peer that keeps sending malformed data must not flood the log.
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxRepeatsPerSecond, 0))
}
