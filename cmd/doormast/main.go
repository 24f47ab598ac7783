// Command doormast is the command-line client for operators of the doormast router.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "doormast",
		Short:         "Operate the doormast router",
		Version:       doormast.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), tableCommand(), statusCommand(), timelineCommand(), explainCommand(),
		drainCommand(), settingsCommand(), experimentCommand(), capacityCommand(), relayCommand(), soakCommand())
	return root
}
