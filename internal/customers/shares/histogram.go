package shares

import "math"

// histogram is a distribution over the range [0, bins).
type histogram struct {
	weights [bins]float64
	sum     float64
}

// add adds a value and returns the fraction of the earlier ones that are below it. fallback is the
// fraction that is returned while there are none.
func (hg *histogram) add(value, fallback float64) float64 {
	value = min(max(value, 0), bins)
	bin := min(int(value), bins-1)
	below := (value - float64(bin)) * hg.weights[bin]
	for _, weight := range hg.weights[:bin] {
		below += weight
	}
	fraction := (below + uniformWeight*fallback) / (hg.sum + uniformWeight)
	hg.weights[bin]++
	hg.sum++
	return fraction
}

// quantile returns the value below which a fraction of the values are.
func (hg *histogram) quantile(fraction float64) float64 {
	left := fraction * hg.sum
	for bin, weight := range hg.weights {
		if weight > 0 && left <= weight {
			return float64(bin) + left/weight
		}
		left -= weight
	}
	return bins
}

// scale multiplies all weights.
func (hg *histogram) scale(factor float64) {
	hg.sum = 0
	for bin := range hg.weights {
		hg.weights[bin] *= factor
		hg.sum += hg.weights[bin]
	}
}

// levelBin returns the place of a water level in a histogram, and levelOfBin the water level of a
// place. Bins are logarithmic beyond the first one, which is linear.
func levelBin(level float64) float64 {
	if level < lowestLevel {
		return level / lowestLevel
	}
	return 1 + levelBinsPerOctave*(math.Log2(level)-minLevelLog2)
}

func levelOfBin(bin float64) float64 {
	if bin < 1 {
		return bin * lowestLevel
	}
	return math.Exp2((bin-1)/levelBinsPerOctave + minLevelLog2)
}

// lowestLevel is the end of the first bin.
const lowestLevel = 1.0 / (1 << -minLevelLog2)
