package account

import "flag"

// The seed is fixed, so that a failure can be played again.
func init() { _ = flag.Set("rapid.seed", "20261202") }
