package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// slope is a measurement over several sizes. The tables of docs/CAPACITY.md are computed
// from the slopes in measure.go and the results of docs/many.sh.
type slope struct {
	id    string
	title string
	// x and y are the units of the size and of the measured value.
	x, y  string
	sizes []int
	// repeat is the number of measurements at each size.
	repeat  int
	measure func(size int) (float64, error)
}

// Point is the value Y measured at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the fitted line of a slope, with the measured points.
type Fit struct {
	ID     string  `json:"id"`
	Title  string  `json:"title"`
	XUnit  string  `json:"x-unit"`
	YUnit  string  `json:"y-unit"`
	Points []Point `json:"points"`
	// Base and Slope are the intercept and the gradient of the fitted line.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// RSquared is the coefficient of determination of the fit.
	RSquared float64 `json:"r-squared"`
	// Spread is the largest residual as a share of the line's largest absolute value
	// at a measured size.
	Spread float64 `json:"spread"`
}

// fit fits a line to the points by linear regression.
func fit(sl slope, points []Point) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for at, po := range points {
		xs[at], ys[at] = po.X, po.Y
	}
	base, rise := stat.LinearRegression(xs, ys, nil, false)
	fi := Fit{
		ID: sl.id, Title: sl.title, XUnit: sl.x, YUnit: sl.y, Points: points, Base: base, Slope: rise,
		RSquared: stat.RSquared(xs, ys, nil, base, rise),
	}
	top := 0.0
	for _, po := range points {
		top = math.Max(top, math.Abs(base+rise*po.X))
	}
	for _, po := range points {
		fi.Spread = math.Max(fi.Spread, math.Abs(po.Y-base-rise*po.X)/top)
	}
	return fi
}

func (sl slope) run() (Fit, error) {
	var points []Point
	for _, size := range sl.sizes {
		for range max(sl.repeat, 1) {
			value, err := sl.measure(size)
			if err != nil {
				return Fit{}, errors.Wrapf(err, "%s at %d", sl.id, size)
			}
			points = append(points, Point{X: float64(size), Y: value})
		}
	}
	return fit(sl, points), nil
}

type slopesCommand struct {
	Into string   `long:"into" default:"docs/capacity" description:"folder for slopes.json and the plots"`
	Only []string `long:"only" description:"measure just these again and keep the others"`
	out  io.Writer
}

// slopesFile is the name of the file with all fits.
const slopesFile = "slopes.json"

// Execute measures the slopes and writes the file and the plots.
func (co *slopesCommand) Execute([]string) error {
	kept := map[string]Fit{}
	if len(co.Only) > 0 {
		fits, err := ReadSlopes(filepath.Join(co.Into, slopesFile))
		if err != nil {
			return err
		}
		for _, fi := range fits {
			kept[fi.ID] = fi
		}
		for _, id := range co.Only {
			delete(kept, id)
		}
	}
	var fits []Fit
	for _, sl := range slopes {
		fi, found := kept[sl.id]
		if !found {
			var err error
			if fi, err = sl.run(); err != nil {
				return err
			}
			fmt.Fprintf(co.out, "%-16s %12.4g %s per %s, base %.4g, r2 %.3f, spread %.0f%%\n",
				fi.ID, fi.Slope, fi.YUnit, fi.XUnit, fi.Base, fi.RSquared, fi.Spread*100)
			if err := fi.plot(co.Into); err != nil {
				return err
			}
		}
		fits = append(fits, fi)
	}
	raw, err := json.MarshalIndent(fits, "", " ")
	if err != nil {
		return errors.Wrap(err, "slopes")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(co.Into, slopesFile), append(raw, '\n'), 0o644), "slopes") // readable by all users
}

// ReadSlopes reads a file written by the slopes command.
func ReadSlopes(file string) ([]Fit, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "slopes")
	}
	var fits []Fit
	return fits, errors.Wrap(json.Unmarshal(raw, &fits), "slopes")
}

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plot writes an SVG file with the points and the line.
func (fi Fit) plot(folder string) error {
	pl := plot.New()
	pl.Title.Text = fi.Title
	pl.X.Label.Text, pl.Y.Label.Text = fi.XUnit, fi.YUnit
	points := make(plotter.XYs, len(fi.Points))
	for at, po := range fi.Points {
		points[at].X, points[at].Y = po.X, po.Y
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	line := plotter.NewFunction(func(x float64) float64 { return fi.Base + fi.Slope*x })
	pl.Add(dots, line, plotter.NewGrid())
	pl.Y.Min = 0
	if err := os.MkdirAll(folder, 0o755); err != nil { // readable by all users
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(pl.Save(plotWidth, plotHeight, filepath.Join(folder, fi.ID+".svg")), "plot")
}

// measureHeap returns the memory that a value takes, in bytes.
func measureHeap(build func() any) float64 {
	before := heapBytes()
	value := build()
	after := heapBytes()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

// heapBytes returns the bytes of the live heap and of the stacks.
func heapBytes() uint64 {
	var ms runtime.MemStats
	for range 2 {
		runtime.GC()
	}
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc + ms.StackInuse
}

// processCPU returns the user and system time of this process.
func processCPU() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// measureCPU returns the mean processor time of a call in microseconds. It repeats the
// call until the total is large enough to be measured.
func measureCPU(call func() error) (float64, error) {
	const minTotal = 300 * time.Millisecond
	began, count := processCPU(), 0
	for processCPU()-began < minTotal {
		if err := call(); err != nil {
			return 0, err
		}
		count++
	}
	return float64((processCPU() - began).Microseconds()) / float64(count), nil
}
