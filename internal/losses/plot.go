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

// Layout of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 7 * vg.Millimeter
	// headroom is the ratio of the Y axis to the tallest bar. It leaves room for the legend
	// with all causes above the bars.
	headroom = 1.8
	// tickEvery is the number of windows per label on the X axis.
	tickEvery = 5
)

// Plot writes a stacked bar chart of the losses by cause over time as SVG.
func (r *Report) Plot(out io.Writer) error {
	p := plot.New()
	r.setStyle(p)
	if err := r.addBars(p); err != nil {
		return err
	}
	svg, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	_, err = svg.WriteTo(out)
	return err
}

// setStyle sets the title, axes and legend position.
func (r *Report) setStyle(p *plot.Plot) {
	p.Title.Text = "calls not answered on time, by cause"
	p.X.Label.Text = fmt.Sprintf("windows of %v", r.Every)
	p.Y.Label.Text = "calls"
	p.Y.Min = 0
	p.Y.Max = max(1, headroom*float64(r.maxLosses()))
	p.Legend.Top, p.Legend.Left = true, true
	var ticks []plot.Tick
	for i, w := range r.Windows {
		if i%tickEvery == 0 {
			ticks = append(ticks, plot.Tick{Value: float64(i), Label: w.From.UTC().Format("15:04:05")})
		}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
}

// maxLosses returns the largest number of losses in any window.
func (r *Report) maxLosses() (largest int) {
	for _, w := range r.Windows {
		largest = max(largest, w.Calls-w.Outcomes[OnTime])
	}
	return largest
}

// colors returns at least as many different colors as there are causes.
func colors() []color.Color { return slices.Concat(plotutil.SoftColors, plotutil.DarkColors) }

// addBars adds the stacked bars of the causes that occur.
func (r *Report) addBars(p *plot.Plot) error {
	width := min(barWidth, plotWidth*0.8/vg.Length(max(len(r.Windows), 1)))
	var below *plotter.BarChart
	for i, cause := range r.All.CausesByCount() {
		values := make(plotter.Values, len(r.Windows))
		for j, w := range r.Windows {
			values[j] = float64(w.Causes[cause])
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
