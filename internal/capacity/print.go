package capacity

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// table is a Markdown table.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t table) write(w io.Writer) error {
	lines := [][]string{t.head, nil}
	for range t.head {
		lines[1] = append(lines[1], "---")
	}
	for _, cells := range append(lines, t.rows...) {
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// Section is one generated section of docs/CAPACITY.md.
type Section struct {
	Name string
	body body
}

// body is the content of a section: a table or the list of commands.
type body interface{ write(w io.Writer) error }

// Write writes the section with its markers, exactly as the page contains it.
func (s Section) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "<!-- begin %s -->\n", s.Name); err != nil {
		return err
	}
	if err := s.body.write(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "<!-- end %s -->\n", s.Name)
	return err
}

// Sections returns all generated sections of the page.
func Sections() []Section {
	return []Section{
		{"sizes", sizeTable()}, {"costs", costTable()}, {"limits", limitTable()}, {"planned", plannedTable()},
		{"mechanisms", mechanismTable()}, {"store", storeTable()}, {"slopes", slopeTable()}, {"commands", commandList{}},
	}
}

const unmeasuredText = "not measured yet"

// formatNumber formats v with three significant digits and commas between thousands. It
// formats NaN as the text for a missing measurement.
func formatNumber(v float64) string {
	if math.IsNaN(v) {
		return unmeasuredText
	}
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	text := strconv.FormatFloat(v, 'f', digits, 64)
	whole, fraction, _ := strings.Cut(text, ".")
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if fraction = strings.TrimRight(fraction, "0"); fraction == "" {
		return whole
	}
	return whole + "." + fraction
}

// formatAgainst formats v in units of scale, and in bold if v exceeds the bound.
func formatAgainst(v, bound float64, scale float64) string {
	text := formatNumber(v / scale)
	if v > bound {
		return "**" + text + "**"
	}
	return text
}

func sizeTable() table {
	t := table{head: []string{"", "reading A: 4,500 replicas of 32 VMs", "reading B: 4,500 VMs in replicas of 32"}}
	a, b := Plan(), ReadingB()
	row := func(name string, of func(Size) float64) { t.add(name, formatNumber(of(a)), formatNumber(of(b))) }
	row("replicas", func(s Size) float64 { return float64(s.Replicas) })
	row("VMs", Size.VMs)
	row("nodes a zone", Size.NodesPerZone)
	row("replicas a zone", Size.ReplicasPerZone)
	row("VMs a zone", Size.VMsPerZone)
	row("requests/s a node", func(s Size) float64 { return s.RequestsPerSecond / float64(s.Nodes) })
	row("tokens/s a node", func(s Size) float64 { return s.TokensPerSecond / float64(s.Nodes) })
	row("requests/s a replica", func(s Size) float64 { return s.RequestsPerSecond / float64(s.Replicas) })
	row("tokens/s a replica", func(s Size) float64 { return s.TokensPerSecond / float64(s.Replicas) })
	row("open streams a node, at most", func(s Size) float64 { return s.OpenStreams() / float64(s.Nodes) })
	row("open streams a replica, at most", func(s Size) float64 { return s.OpenStreams() / float64(s.Replicas) })
	row("capacity lost with one VM, %", func(s Size) float64 { return 100 / float64(s.Replicas) })
	row("regroupings a zone and day, at most", func(s Size) float64 { return s.Regroupings() * secondsPerDay })
	return t
}

func costTable() table {
	t := table{head: []string{"role", "A: B/s", "A: % of a core", "A: MB", "B: B/s", "B: % of a core", "B: MB"}}
	budget := ControlBudget()
	row := func(name string, bound Budget, costs ...Cost) {
		cells := []string{name}
		for _, c := range costs {
			cells = append(cells, formatAgainst(c.BytesPerSec, bound.BytesPerSec, 1), formatAgainst(c.CoreShare, bound.CoreShare, 0.01),
				formatAgainst(c.MemoryBytes, bound.MemoryBytes, 1e6))
		}
		t.add(cells...)
	}
	noBound := Budget{math.Inf(1), math.Inf(1), math.Inf(1)}
	for _, r := range Roles() {
		name, bound := r.Name, budget
		if r.Serving {
			name, bound = name+" (serving, not control)", noBound
		}
		row(name, bound, r.Cost(Plan()), r.Cost(ReadingB()))
	}
	row("sum of control on a node that has all duties, as far as measured", budget, Sum(Plan()), Sum(ReadingB()))
	row("budget", noBound, budgetCost(budget), budgetCost(budget))
	return t
}

func budgetCost(b Budget) Cost { return Cost{b.BytesPerSec, b.CoreShare, b.MemoryBytes} }

func mechanismTable() table {
	t := table{head: []string{"role", "on", "state", "messages", "carried by", "to come"}}
	for _, r := range Roles() {
		t.add(r.Name, r.RunsOn, r.State, r.Messages, r.Mechanism, orDash(r.PlannedMechanism))
	}
	return t
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func plannedTable() table {
	t := table{head: []string{"role", "A: B/s on a node", "B: B/s on a node", "how"}}
	var sumA, sumB float64
	for _, p := range plannedTraffic() {
		a, b := p.bytes(Plan()), p.bytes(ReadingB())
		sumA, sumB = sumA+a, sumB+b
		t.add(p.role, formatNumber(a), formatNumber(b), p.mechanism)
	}
	t.add("sum", formatNumber(sumA), formatNumber(sumB), "budget: "+formatNumber(ControlBudget().BytesPerSec))
	return t
}

func slopeTable() table {
	t := table{head: []string{"slope", "value", "run"}}
	numbers := commandNumbers()
	for _, s := range Slopes() {
		if !s.Measured() {
			t.add(s.Name, unmeasuredText, "-")
			continue
		}
		t.add(s.Name, formatNumber(s.Value)+" "+s.Unit, fmt.Sprintf("%d, %s", numbers[s.Command], s.Date))
	}
	return t
}

// commandNumbers numbers the commands in the order in which they first occur in Slopes.
func commandNumbers() map[string]int {
	numbers := map[string]int{}
	for _, s := range Slopes() {
		if s.Measured() && numbers[s.Command] == 0 {
			numbers[s.Command] = len(numbers) + 1
		}
	}
	return numbers
}

// commandList writes the numbered commands as a code block: a Markdown table can't hold
// the bars in them.
type commandList struct{}

func (commandList) write(w io.Writer) error {
	numbers := commandNumbers()
	lines := make([]string, len(numbers))
	for command, n := range numbers {
		lines[n-1] = fmt.Sprintf("%s  # %d", command, n)
	}
	_, err := fmt.Fprintf(w, "```sh\n%s\n```\n", strings.Join(lines, "\n"))
	return err
}
