package measure

import "math"

// trend is a straight line through measured points.
type trend struct{ base, slope float64 }

// fit returns the line of least squares through the points. With fewer than
// two different places it is level at the mean.
func fit(at, values []float64) trend {
	if len(at) == 0 {
		return trend{}
	}
	meanAt, meanValue := mean(at), mean(values)
	var products, squares float64
	for i := range at {
		products += (at[i] - meanAt) * (values[i] - meanValue)
		squares += (at[i] - meanAt) * (at[i] - meanAt)
	}
	if squares == 0 {
		return trend{base: meanValue}
	}
	slope := products / squares
	return trend{base: meanValue - slope*meanAt, slope: slope}
}

func (tr trend) value(at float64) float64 { return tr.base + tr.slope*at }

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// round6 keeps six digits after the point, for shares and slopes.
func round6(value float64) float64 { return math.Round(value*1e6) / 1e6 }
