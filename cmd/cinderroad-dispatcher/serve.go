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

// linesPerSecond is how often one message is logged within a second.
const linesPerSecond = 50

// serving is what serve and check are told.
type serving struct {
	config, gearman, log string
	short                server.Shorthand
}

func newServing() *serving { return &serving{} }

func (s *serving) flags(c *cobra.Command) {
	f := c.Flags()
	f.SortFlags = false
	f.StringVar(&s.config, "config", os.Getenv("ROUTER_CONFIG"), "configuration `FILE` (JSON); $ROUTER_CONFIG is the default")
	f.StringVar(&s.short.Operator, "operator", "", "operator's `FILE` (TOML), of the form of deploy/operator.toml")
	f.StringVar(&s.gearman, "gearman", "", "`FILE` (TOML) that turns the Gearman front on, of the form of deploy/gearman.toml")
	f.StringVar(&s.short.Graphite, "graphite", "", "`ADDRESS` of a Graphite receiver, besides the operator's file")
	f.StringVar(&s.short.Collectd, "collectd", "", "`PATH` of collectd's unix socket, besides the operator's file")
	f.Float64Var(&s.short.Interval, "metrics-every", 0, "`SECONDS` between figures; the operator's file says 10 if it says nothing")
	f.StringVar(&s.log, "log", "info", "log `LEVEL`: debug, info, warn or error")
}

// read reads all that the program is told.
func (s *serving) read() (*server.Config, error) {
	config, err := server.ReadConfig(s.config, os.Getenv)
	if err == nil && s.gearman != "" {
		err = config.ReadGearman(s.gearman)
	}
	if err == nil {
		err = config.ReadOperator(s.short)
	}
	return config, err
}

func (s *serving) run(*cobra.Command, []string) error {
	level, err := zapcore.ParseLevel(s.log)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	config, err := s.read()
	if err != nil {
		return err
	}
	return server.Run(config, logger(os.Stderr, level))
}

func (s *serving) check(c *cobra.Command, _ []string) error {
	config, err := s.read()
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
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0))
}
