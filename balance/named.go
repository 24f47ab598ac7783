package balance

// This file defines the limits that upstreams name: how many requests a second one takes from all boxes
// together.

// NoLimit is from how many requests a second on a limit bounds nothing that boxes send.
const NoLimit = 1e6
