package cell

import _ "embed" // the chart of a request's states

//go:embed request.chart.json
var requestChartFile []byte
