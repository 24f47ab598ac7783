package account

import "flag"

// A fixed seed makes failures of the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "20261202") }
