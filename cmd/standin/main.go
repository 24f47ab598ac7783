// Command standin runs one of the stand-ins as a process: the platform, an
// engine or a plain service. It is for tests and trying things out.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/internal/platform"
	"github.com/doormast/doormast/standin"
	"github.com/doormast/doormast/table"
)

func main() {
	root := &cobra.Command{Use: "standin", Short: "Run a stand-in for what surrounds doormast", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), plainCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// addresser is what all stand-ins have.
type addresser interface {
	Address() string
	Close() error
}

// serve says where the stand-in listens and waits for a signal.
func serve(s addresser) error {
	fmt.Println(s.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return s.Close()
}

func platformCommand() *cobra.Command {
	var address, tableFile, listFile string
	cmd := &cobra.Command{Use: "platform", Short: "Publish a table and a list", RunE: func(*cobra.Command, []string) error {
		p, err := standin.NewPlatform(address)
		if err != nil {
			return err
		}
		source, err := os.ReadFile(tableFile)
		if err != nil {
			return err
		}
		t, err := table.Parse(tableFile, source)
		if err != nil {
			return err
		}
		p.SetTable(t)
		if listFile != "" {
			source, err := os.ReadFile(listFile)
			if err != nil {
				return err
			}
			var l platform.List
			if err := json.Unmarshal(source, &l); err != nil {
				return err
			}
			p.SetList(l)
		}
		return serve(p)
	}}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP:port")
	cmd.Flags().StringVar(&tableFile, "table", "", "table file")
	cmd.Flags().StringVar(&listFile, "list", "", "list file")
	_ = cmd.MarkFlagRequired("table")
	return cmd
}

func engineCommand() *cobra.Command {
	cfg := standin.EngineConfig{}
	cmd := &cobra.Command{Use: "engine", Short: "Generate tokens", RunE: func(*cobra.Command, []string) error {
		e, err := standin.NewEngine(cfg)
		if err != nil {
			return err
		}
		return serve(e)
	}}
	f := cmd.Flags()
	f.StringVar(&cfg.Address, "listen", "127.0.0.1:0", "IP:port")
	f.StringVar(&cfg.Model, "model", "standin", "model's name")
	f.IntVar(&cfg.Slots, "slots", 8, "answers generated at once")
	f.DurationVar(&cfg.Pace, "pace", 20*time.Millisecond, "time for one token")
	f.DurationVar(&cfg.Prefill, "prefill", 50*time.Millisecond, "time before the first token")
	f.DurationVar(&cfg.ReportLag, "report-lag", 0, "age of what reports say")
	f.BoolVar(&cfg.ChecksFence, "checks-fence", true, "refuse orders with an old fence")
	return cmd
}

func plainCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{Use: "plain", Short: "Count executions", RunE: func(*cobra.Command, []string) error {
		p, err := standin.NewPlain(address)
		if err != nil {
			return err
		}
		return serve(p)
	}}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP:port")
	return cmd
}
