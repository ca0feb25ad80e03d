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

// maxRepeatsPerSecond is how often one message is logged within a second.
const maxRepeatsPerSecond = 50

// serveOptions is what serve and check are told.
type serveOptions struct {
	config, gearman, logLevel string
	shorthand                 server.Shorthand
}

func newServeOptions() *serveOptions { return &serveOptions{} }

func (o *serveOptions) flags(c *cobra.Command) {
	f := c.Flags()
	f.SortFlags = false
	f.StringVar(&o.config, "config", os.Getenv("ROUTER_CONFIG"), "configuration `FILE` (JSON); $ROUTER_CONFIG is the default")
	f.StringVar(&o.shorthand.Operator, "operator", "", "operator's `FILE` (TOML), of the form of deploy/operator.toml")
	f.StringVar(&o.gearman, "gearman", "", "`FILE` (TOML) that turns the Gearman front on, of the form of deploy/gearman.toml")
	f.StringVar(&o.shorthand.Graphite, "graphite", "", "`ADDRESS` of a Graphite receiver, besides the operator's file")
	f.StringVar(&o.shorthand.Collectd, "collectd", "", "`PATH` of collectd's unix socket, besides the operator's file")
	f.Float64Var(&o.shorthand.Interval, "metrics-every", 0, "`SECONDS` between figures; the operator's file says 10 if it says nothing")
	f.StringVar(&o.logLevel, "log", "info", "log `LEVEL`: debug, info, warn or error")
}

// read reads all that the program is told.
func (o *serveOptions) read() (*server.Config, error) {
	config, err := server.ReadConfig(o.config, os.Getenv)
	if err == nil && o.gearman != "" {
		err = config.ReadGearman(o.gearman)
	}
	if err == nil {
		err = config.ReadOperator(o.shorthand)
	}
	return config, err
}

func (o *serveOptions) run(*cobra.Command, []string) error {
	level, err := zapcore.ParseLevel(o.logLevel)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	config, err := o.read()
	if err != nil {
		return err
	}
	return server.Run(config, logger(os.Stderr, level))
}

func (o *serveOptions) check(c *cobra.Command, _ []string) error {
	config, err := o.read()
	if err != nil {
		return err
	}
	return config.Describe(c.OutOrStdout())
}

func logger(to io.Writer, level zapcore.Level) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoder), zapcore.Lock(zapcore.AddSync(to)), level)
	// A peer that sends nonsense without end must not have the log written without end.
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxRepeatsPerSecond, 0))
}
