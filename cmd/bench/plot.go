package main

import (
	"errors"
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

type (
	plotCommand struct {
		Input  string `long:"input" default:"docs/measurements.json" value-name:"FILE" description:"recorded measurement"`
		Output string `long:"output" default:"docs" value-name:"DIRECTORY" description:"where the plots go"`
	}

	// barChart is a chart of horizontal bars, one per name and series.
	barChart struct {
		title, axis string
		names       []string
		series      []string
		values      map[string][]float64
		// limit is the position of a vertical line, or 0 for none.
		limit float64
	}
)

const (
	barWidth  = 7 * vg.Millimeter / 2
	barGap    = 2 * vg.Millimeter
	plotWidth = 24 * vg.Centimeter
	// headerHeight is the height of the title and the axis.
	headerHeight = 3 * vg.Centimeter
)

var barColors = []color.Color{color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}}

// Execute writes the charts.
func (c *plotCommand) Execute([]string) error {
	rows, err := readRows(c.Input)
	if err != nil {
		return err
	}
	return errors.Join(
		recoveryBars(rows).save(filepath.Join(c.Output, "recovery.svg")),
		targetBars(rows).save(filepath.Join(c.Output, "targets.svg")))
}

// recoveryBars returns a chart of the median and worst recovery time of each failure.
func recoveryBars(rows []Row) barChart {
	b := barChart{title: "Recovery time", axis: "s", series: []string{"median", "worst"}, values: map[string][]float64{}}
	for _, r := range rows {
		name, kind, ok := strings.Cut(r.Figure, ": ")
		if r.Area != "recover" || !ok {
			continue
		}
		if kind == "median" {
			b.names = append(b.names, name)
		}
		b.values[kind] = append(b.values[kind], r.Value)
	}
	return b
}

// targetBars returns a chart of the ratio of each figure to its numeric target; below 1 is better than the target.
func targetBars(rows []Row) barChart {
	b := barChart{title: "Figures over their targets (1 = target, less is better)", axis: "ratio", series: []string{"ratio"}, values: map[string][]float64{}, limit: 1}
	for _, r := range rows {
		w := strings.Fields(r.Target)
		if len(w) != 2 {
			continue
		}
		target, err := strconv.ParseFloat(w[1], 64)
		if err != nil || target == 0 {
			continue
		}
		ratio := r.Value / target
		if strings.HasPrefix(w[0], ">") {
			ratio = target / r.Value
		}
		if math.IsInf(ratio, 0) || math.IsNaN(ratio) {
			continue
		}
		b.names = append(b.names, r.Area+": "+r.Figure)
		b.values["ratio"] = append(b.values["ratio"], ratio)
	}
	return b
}

func (b barChart) save(file string) error {
	if len(b.names) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = b.title, b.axis
	for i, s := range b.series {
		c, err := plotter.NewBarChart(plotter.Values(b.values[s]), barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", s, err)
		}
		c.Horizontal, c.Color, c.LineStyle.Width = true, barColors[i%len(barColors)], 0
		c.Offset = barWidth * vg.Length(float64(i)-float64(len(b.series)-1)/2)
		p.Add(c)
		if len(b.series) > 1 {
			p.Legend.Add(s, c)
		}
	}
	p.NominalY(b.names...)
	if b.limit != 0 {
		l, err := plotter.NewLine(plotter.XYs{{X: b.limit, Y: -0.5}, {X: b.limit, Y: float64(len(b.names)) - 0.5}})
		if err != nil {
			return fmt.Errorf("plot limit: %w", err)
		}
		p.Add(l)
	}
	p.X.Min = 0
	height := headerHeight + vg.Length(len(b.names))*(barWidth*vg.Length(len(b.series))+barGap)
	if err := p.Save(plotWidth, height, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
