package cell

import _ "embed" // for the embedded chart of request states

//go:embed request.chart.json
var requestChartFile []byte
