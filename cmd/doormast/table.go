package main

// This file defines the commands that check, print and compare routing tables.

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/table"
)

func tableCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "table", Short: "Validate, show and compare routing tables"}
	cmd.AddCommand(tableCheckCommand(), tableShowCommand(), tableDiffCommand(), tableKeyCommand())
	return cmd
}

// readTable reads and parses a table file.
func readTable(file string) (*table.Table, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return table.Parse(file, source)
}

func tableCheckCommand() *cobra.Command {
	var base, current string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report errors in a table, and requirements that cannot be met together",
		Long: "Report errors in a table, and requirements that cannot be met together.\n\n" +
			"With --against CURRENT and --base BASE, where FILE is an edited copy of BASE and CURRENT\n" +
			"is the table now in force, also report which changes of others the edit would undo.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := readTable(args[0])
			if err != nil {
				return err
			}
			if current != "" {
				if err := checkAgainst(cmd, t, base, current); err != nil {
					return err
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d classes, %d customers, %d upstreams: good\n", args[0], len(t.Classes), len(t.Customers), len(t.Upstreams))
			return nil
		},
	}
	cmd.Flags().StringVar(&current, "against", "", "table that is now in force")
	cmd.Flags().StringVar(&base, "base", "", "table from which the edit was made (default: the value of --against)")
	return cmd
}

// checkAgainst prints each change from base to current that the edit would undo, and fails
// if there is one. Without a base file, the current table is the base.
func checkAgainst(cmd *cobra.Command, edit *table.Table, baseFile, currentFile string) error {
	current, err := readTable(currentFile)
	if err != nil {
		return err
	}
	base := current
	if baseFile != "" {
		if base, err = readTable(baseFile); err != nil {
			return err
		}
	}
	undone := table.Undone(base, current, edit)
	for _, c := range undone {
		fmt.Fprintln(cmd.OutOrStdout(), "would undo:", c)
	}
	if len(undone) > 0 {
		return fmt.Errorf("the edit would undo %d changes made since its base", len(undone))
	}
	return nil
}

func tableShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show FILE",
		Short: "Print a table in aligned columns",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := readTable(args[0])
			if err != nil {
				return err
			}
			return t.Show(cmd.OutOrStdout())
		},
	}
}

func tableDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff A B",
		Short: "List the changes from table A to table B by row and column",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := readTable(args[0])
			if err != nil {
				return err
			}
			b, err := readTable(args[1])
			if err != nil {
				return err
			}
			for _, c := range table.Diff(a, b) {
				fmt.Fprintln(cmd.OutOrStdout(), c)
			}
			return nil
		},
	}
}

func tableKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Read a bearer key from standard input and print the hash to store in the table",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var key string
			if _, err := fmt.Fscanln(cmd.InOrStdin(), &key); err != nil {
				return fmt.Errorf("read key from standard input: %w", err)
			}
			fmt.Fprintln(cmd.OutOrStdout(), table.HashKey(key))
			return nil
		},
	}
}
