package cell

// This file embeds the state chart of a request.

import _ "embed" // for requestChartFile

//go:embed request.chart.json
var requestChartFile []byte
