package capacity

import "math"

// Point is one measured value at one benchmark size.
type Point struct{ Size, Value float64 }

// Line is a straight line fitted to points.
type Line struct {
	Intercept float64
	Slope     float64
	// Residual is the largest deviation of a point from the line, relative to
	// the point's value. A large residual indicates non-linear growth or noise.
	Residual float64
	Points   int
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// FitLine returns the weighted least-squares line. The weight of a point is the
// inverse square of its value, because measurement noise grows with the value;
// without weights the largest size would dominate the fit. If all points have
// the same size, the slope is zero.
func FitLine(points []Point) Line {
	var sw, swx, swy, swxx, swxy float64
	for _, p := range points {
		w := weight(p.Value)
		sw += w
		swx += w * p.Size
		swy += w * p.Value
		swxx += w * p.Size * p.Size
		swxy += w * p.Size * p.Value
	}
	line := Line{Points: len(points)}
	if sw == 0 {
		return line
	}
	spread := sw*swxx - swx*swx
	if spread > 1e-9*sw*swxx {
		line.Slope = (sw*swxy - swx*swy) / spread
	}
	line.Intercept = (swy - line.Slope*swx) / sw
	for _, p := range points {
		line.Residual = max(line.Residual, math.Abs(p.Value-line.At(p.Size))/scale(p.Value))
	}
	return line
}

func weight(value float64) float64 { return 1 / (scale(value) * scale(value)) }

// scale returns the magnitude of a value, bounded away from zero so that weights
// stay finite.
func scale(value float64) float64 { return max(math.Abs(value), 1e-9) }
