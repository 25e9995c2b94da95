package measure

import "math"

// regressionLine is a straight line through measured points.
type regressionLine struct{ intercept, slope float64 }

// fitLine returns the least-squares line through the points. If all points have the same
// x it is horizontal at the mean, and without points it is zero.
func fitLine(xs, ys []float64) regressionLine {
	if len(xs) == 0 {
		return regressionLine{}
	}
	meanX, meanY := mean(xs), mean(ys)
	var products, squares float64
	for i := range xs {
		products += (xs[i] - meanX) * (ys[i] - meanY)
		squares += (xs[i] - meanX) * (xs[i] - meanX)
	}
	if squares == 0 {
		return regressionLine{intercept: meanY}
	}
	slope := products / squares
	return regressionLine{intercept: meanY - slope*meanX, slope: slope}
}

// valueAt returns the y of the line at x.
func (rl regressionLine) valueAt(x float64) float64 { return rl.intercept + rl.slope*x }

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// roundTo6 rounds to six decimal places, for shares and slopes.
func roundTo6(value float64) float64 { return math.Round(value*1e6) / 1e6 }
