// Command standin runs a simulated platform, inference engine or plain HTTP service
// as a process, for tests and manual trials.
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
	root := &cobra.Command{Use: "standin", Short: "Run a simulated platform, engine or service", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), plainCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// server is a running simulated service.
type server interface {
	Address() string
	Close() error
}

// serve prints the address on which s listens and closes s on SIGTERM or SIGINT.
func serve(s server) error {
	fmt.Println(s.Address())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return s.Close()
}

func platformCommand() *cobra.Command {
	var address, tableFile, listFile string
	cmd := &cobra.Command{Use: "platform", Short: "Publish a routing table and, optionally, a list of boxes", RunE: func(*cobra.Command, []string) error {
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
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP:port to listen on")
	cmd.Flags().StringVar(&tableFile, "table", "", "file of the table to publish")
	cmd.Flags().StringVar(&listFile, "list", "", "JSON file that lists the boxes and the leaving upstreams")
	_ = cmd.MarkFlagRequired("table")
	return cmd
}

func engineCommand() *cobra.Command {
	cfg := standin.EngineConfig{}
	cmd := &cobra.Command{Use: "engine", Short: "Simulate an inference engine", RunE: func(*cobra.Command, []string) error {
		e, err := standin.NewEngine(cfg)
		if err != nil {
			return err
		}
		return serve(e)
	}}
	f := cmd.Flags()
	f.StringVar(&cfg.Address, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringVar(&cfg.Model, "model", "standin", "name of the model served")
	f.IntVar(&cfg.Slots, "slots", 8, "maximum number of answers generated concurrently")
	f.DurationVar(&cfg.Pace, "pace", 20*time.Millisecond, "time per generated token")
	f.DurationVar(&cfg.Prefill, "prefill", 50*time.Millisecond, "time before the first token")
	f.DurationVar(&cfg.ReportLag, "report-lag", 0, "age of the data in load reports")
	f.BoolVar(&cfg.ChecksFence, "checks-fence", true, "reject orders with an outdated fencing token")
	return cmd
}

func plainCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{Use: "plain", Short: "Run a plain service that counts executions", RunE: func(*cobra.Command, []string) error {
		p, err := standin.NewPlain(address)
		if err != nil {
			return err
		}
		return serve(p)
	}}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP:port to listen on")
	return cmd
}
