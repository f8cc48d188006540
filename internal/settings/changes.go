package settings

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Change returns a copy of the settings with those that a file gives; the others stay as
// they are. Unlike Overlay it doesn't check how the settings depend on each other.
func (o Operator) Change(path string) (*Operator, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := o.apply(b, map[string]bool{}); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &o, nil
}

// entries reads a file (name (entry ...) ...) and calls handle for each entry.
func entries(path, name string, handle func(entry string, values []any) error) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := eachEntry(text, name, handle); err != nil {
		return fmt.Errorf("%s %s: %w", name, path, err)
	}
	return nil
}

// eachEntry calls handle for each entry of (name (entry ...) ...) until one fails.
func eachEntry(text []byte, name string, handle func(entry string, values []any) error) error {
	values, err := parseForm(text, name)
	if err != nil {
		return err
	}
	for _, value := range values {
		entry, args, err := form(value)
		if err != nil {
			return err
		}
		if err := handle(entry, args); err != nil {
			return err
		}
	}
	return nil
}

// leadingNames splits an entry's values into n names and the rest.
func leadingNames(values []any, n int) (names []string, rest []any, err error) {
	for i := range n {
		if i >= len(values) {
			return nil, nil, errNameMissing
		}
		name, err := quotedName(values[i])
		if err != nil {
			return nil, nil, err
		}
		names = append(names, name)
	}
	return names, values[n:], nil
}

// setters set a value each, by the name of its entry.
type setters map[string]func(value any) error

// apply reads (name value) pairs. At least one is needed.
func (s setters) apply(values []any) error {
	seen := map[string]bool{}
	for _, value := range values {
		name, args, err := form(value)
		if err != nil {
			return err
		}
		set := s[name]
		switch {
		case set == nil:
			return fieldErrorf(name, "unknown; there are %q", slices.Sorted(maps.Keys(s)))
		case seen[name]:
			return fieldError(name, errGivenTwice)
		case len(args) != 1:
			return fieldError(name, errOneValue)
		}
		seen[name] = true
		if err := set(args[0]); err != nil {
			return fieldError(name, err)
		}
	}
	if len(seen) == 0 {
		return errors.New("changes nothing")
	}
	return nil
}

// amount makes the setter of a number that is not negative.
func amount(target *float64) func(value any) error {
	return func(value any) error {
		switch number := value.(type) {
		case int64:
			*target = float64(number)
		case float64:
			*target = number
		default:
			return errors.New("needs a number")
		}
		if *target < 0 {
			return errors.New("must not be negative")
		}
		return nil
	}
}

// positiveDuration makes the setter of a duration.
func positiveDuration(target *time.Duration) func(value any) error {
	return func(value any) error {
		text, _ := value.(string)
		duration, err := time.ParseDuration(text)
		if err != nil || duration <= 0 {
			return errors.New(`needs a duration such as "30s"`)
		}
		*target = duration
		return nil
	}
}

// ReadTeams reads (teams (team "name" (cpus 10) (cpus-max 20) (gpus 1) (gpus-max 2)) ...):
// guarantees and limits, 0 for none. What an entry leaves out stays. Teams that are not
// in known are errors.
func ReadTeams(path string, known map[string]model.Team) (map[string]model.Team, error) {
	out, seen := maps.Clone(known), map[string]bool{}
	return out, entries(path, "teams", func(entry string, values []any) error {
		if entry != "team" {
			return fieldErrorf(entry, "unknown; there is team")
		}
		names, rest, err := leadingNames(values, 1)
		if err != nil {
			return fieldError("team", err)
		}
		name := names[0]
		team, ok := out[name]
		label := fmt.Sprintf("team %q", name)
		switch {
		case !ok:
			return fieldErrorf(label, "no job names it; there are %q", slices.Sorted(maps.Keys(known)))
		case seen[name]:
			return fieldError(label, errGivenTwice)
		}
		seen[name] = true
		amounts := setters{
			"cpus":     amount(&team.Guarantee.CPUs),
			"cpus-max": amount(&team.Limit.CPUs),
			"gpus":     amount(&team.Guarantee.GPUs),
			"gpus-max": amount(&team.Limit.GPUs),
		}
		if err := amounts.apply(rest); err != nil {
			return fieldError(label, err)
		}
		out[name] = team
		return nil
	})
}

// Capacity is how many machines of a pool the cloud has, -1 where it is not given.
type Capacity struct {
	Pool           model.Pool
	Ordinary, Spot int
}

// ReadMachines reads (machines (capacity "type" "zone" (ordinary 20) (spot 5)) (type "type"
// (price 2.5) (spot-price 1) (boot "30s") (fetch 0.5)) ...): what the cloud has, prices an
// hour, boot times and GB a second. Types and zones that are not known are errors.
func ReadMachines(path string, known map[string]model.MachineType) (map[string]model.MachineType, []Capacity, error) {
	types := maps.Clone(known)
	var out []Capacity
	err := entries(path, "machines", func(entry string, values []any) error {
		switch entry {
		case "capacity":
			capacity, err := readCapacity(types, values)
			if err != nil {
				return err
			}
			out = append(out, capacity)
			return nil
		case "type":
			return readType(types, known, values)
		}
		return fieldErrorf(entry, "unknown; there are capacity and type")
	})
	return types, out, err
}

// readCapacity reads the values of an entry (capacity "type" "zone" ...).
func readCapacity(types map[string]model.MachineType, values []any) (Capacity, error) {
	names, rest, err := leadingNames(values, 2)
	if err != nil {
		return Capacity{}, fieldError("capacity", err)
	}
	pool := model.Pool{Type: names[0], Zone: names[1]}
	machineType, ok := types[pool.Type]
	if !ok || !machineType.OfferedIn(pool.Zone) {
		return Capacity{}, fieldErrorf("capacity", "there is no type %q in zone %q", pool.Type, pool.Zone)
	}
	ordinary, spot := -1.0, -1.0
	counts := setters{"ordinary": amount(&ordinary), "spot": amount(&spot)}
	if err := counts.apply(rest); err != nil {
		return Capacity{}, fieldError(fmt.Sprintf("capacity %q %q", pool.Type, pool.Zone), err)
	}
	return Capacity{Pool: pool, Ordinary: int(ordinary), Spot: int(spot)}, nil
}

// readType reads the values of an entry (type "type" ...) and changes that type.
func readType(types, known map[string]model.MachineType, values []any) error {
	names, rest, err := leadingNames(values, 1)
	if err != nil {
		return fieldError("type", err)
	}
	name := names[0]
	machineType, ok := types[name]
	if !ok {
		return fieldErrorf(fmt.Sprintf("type %q", name), "unknown; there are %q", slices.Sorted(maps.Keys(known)))
	}
	properties := setters{
		"price":      amount(&machineType.Price),
		"spot-price": amount(&machineType.SpotPrice),
		"fetch":      amount(&machineType.FetchGBPerS),
		"boot":       positiveDuration(&machineType.Boot),
	}
	if err := properties.apply(rest); err != nil {
		return fieldError(fmt.Sprintf("type %q", name), err)
	}
	types[name] = machineType
	return nil
}
