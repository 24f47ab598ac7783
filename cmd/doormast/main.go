// Command doormast is the operators' client.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast"
)

func main() {
	root := &cobra.Command{
		Use:           "doormast",
		Short:         "Operate the doormast router",
		Version:       doormast.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), tableCommand(), statusCommand(), timelineCommand(), explainCommand(),
		drainCommand(), settingsCommand(), experimentCommand(), capacityCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
