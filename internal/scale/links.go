package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/marlwood/marlwood/internal/standin"
)

// regionLink is a link from one region to a controller of another.
type regionLink struct {
	*standin.Link
	from, to string
}

// linkRegion creates a region's links to the others and writes its controllers' settings.
func (r *run) linkRegion(g *regionRun) error {
	var others []string
	for _, o := range r.regions {
		if o == g {
			continue
		}
		text := o.plan.Region
		for _, c := range o.controllers {
			k, err := standin.NewLink("127.0.0.1:0", c.peer)
			if err != nil {
				return fmt.Errorf("scale: link: %w", err)
			}
			r.links = append(r.links, &regionLink{k, g.plan.Region, o.plan.Region})
			text += " " + k.Addr().String()
		}
		others = append(others, text)
	}
	text := "(marlwood)"
	if r.opt.Settings != "" {
		b, err := os.ReadFile(r.opt.Settings)
		if err != nil {
			return err
		}
		text = string(b)
	}
	text = strings.TrimSuffix(strings.TrimSpace(text), ")") +
		fmt.Sprintf("\n  (regions\n    (name %q)\n    (others %q)))\n", g.plan.Region, strings.Join(others, "; "))
	g.settings = filepath.Join(r.dir, g.plan.Region+".sexp")
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// cutRegion cuts the links between CutRegion and the other regions from CutAt for CutFor, and heals them afterwards.
func (r *run) cutRegion() {
	if r.opt.CutRegion == "" {
		return
	}
	at := r.regions[regionIndex(r.opt.CutRegion)].at()
	on := at >= r.opt.CutAt && at < r.opt.CutAt+r.opt.CutFor
	for _, k := range r.links {
		if k.from == r.opt.CutRegion || k.to == r.opt.CutRegion {
			k.Cut(on)
		}
	}
}

// globalUsage sums the CPUs that teams use in all regions at the same times, and checks the sums against the
// teams' limits.
type globalUsage struct {
	limits  map[string]float64
	regions map[int64]int // number of regions that reported a sample, by its time
	used    map[int64]map[string]float64
	broken  []string
}

func newGlobalUsage(p Plan) *globalUsage {
	u := &globalUsage{limits: map[string]float64{}, regions: map[int64]int{}, used: map[int64]map[string]float64{}}
	for _, t := range p.Teams {
		u.limits[t.Name] = t.Limit
	}
	return u
}

// add adds a region's samples, and checks the limits for each time for which every region has reported a sample.
func (u *globalUsage) add(samples []UseSample) {
	for _, s := range samples {
		if u.used[s.AtMS] == nil {
			u.used[s.AtMS] = map[string]float64{}
		}
		for team, cpus := range s.Used {
			u.used[s.AtMS][team] += cpus
		}
		if u.regions[s.AtMS]++; u.regions[s.AtMS] < regionsPlanned {
			continue
		}
		for team, cpus := range u.used[s.AtMS] {
			if cpus > u.limits[team]+rounding {
				u.broken = append(u.broken, fmt.Sprintf("quota: %s uses %.2f of %.2f CPUs in all regions", team, cpus, u.limits[team]))
			}
		}
		delete(u.used, s.AtMS)
		delete(u.regions, s.AtMS)
	}
}
