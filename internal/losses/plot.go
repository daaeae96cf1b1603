package losses

import (
	"fmt"
	"image/color"
	"io"
	"slices"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 7 * vg.Millimeter
	// headroom is the height of the picture over that of the tallest bar: the names of
	// all causes fit above it.
	headroom = 1.8
	// tickEvery is after how many windows one is labelled.
	tickEvery = 5
)

// Plot writes an SVG picture of the losses by cause over time.
func (r *Report) Plot(out io.Writer) error {
	p := plot.New()
	r.style(p)
	if err := r.addBars(p); err != nil {
		return err
	}
	picture, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	_, err = picture.WriteTo(out)
	return err
}

// style sets what does not depend on the causes.
func (r *Report) style(p *plot.Plot) {
	p.Title.Text = "calls not answered on time, by cause"
	p.X.Label.Text = fmt.Sprintf("windows of %v", r.Every)
	p.Y.Label.Text = "calls"
	p.Y.Min = 0
	p.Y.Max = max(1, headroom*float64(r.tallest()))
	p.Legend.Top, p.Legend.Left = true, true
	var ticks []plot.Tick
	for i, w := range r.Windows {
		if i%tickEvery == 0 {
			ticks = append(ticks, plot.Tick{Value: float64(i), Label: w.From.UTC().Format("15:04:05")})
		}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
}

// tallest is the most losses of a window.
func (r *Report) tallest() (most int) {
	for _, w := range r.Windows {
		most = max(most, w.Calls-w.Outcomes[OnTime])
	}
	return most
}

// colors tell all causes apart.
func colors() []color.Color { return slices.Concat(plotutil.SoftColors, plotutil.DarkColors) }

// addBars puts the bars of the causes that were seen one on the other.
func (r *Report) addBars(p *plot.Plot) error {
	width := min(barWidth, plotWidth*0.8/vg.Length(max(len(r.Windows), 1)))
	var below *plotter.BarChart
	for i, cause := range r.All.CausesByCount() {
		values := make(plotter.Values, len(r.Windows))
		for at, w := range r.Windows {
			values[at] = float64(w.Causes[cause])
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return errors.Wrap(err, string(cause))
		}
		bars.Color = colors()[i]
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		p.Add(bars)
		p.Legend.Add(string(cause), bars)
		below = bars
	}
	return nil
}
