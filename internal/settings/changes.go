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

// Change returns a copy of the settings in which the settings in a file replace the current ones.
// Unlike Overlay it doesn't check how the settings depend on each other.
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

// eachEntry calls handle for each entry of (name (entry ...) ...) until a call fails.
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

// leadingNames splits an entry's values into n leading names and the rest.
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

// setters maps the name of an entry to the function that sets its value.
type setters map[string]func(value any) error

// apply reads (name value) pairs. It returns an error if there are none.
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
		return errors.New("no values given")
	}
	return nil
}

// nonNegative returns a setter for a number that must not be negative.
func nonNegative(target *float64) func(value any) error {
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

// positiveDuration returns a setter for a duration that must be positive.
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
// guarantees and limits, 0 for none. Amounts that an entry omits keep their value. A team that
// is not in known is an error.
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
			"cpus":     nonNegative(&team.Guarantee.CPUs),
			"cpus-max": nonNegative(&team.Limit.CPUs),
			"gpus":     nonNegative(&team.Guarantee.GPUs),
			"gpus-max": nonNegative(&team.Limit.GPUs),
		}
		if err := amounts.apply(rest); err != nil {
			return fieldError(label, err)
		}
		out[name] = team
		return nil
	})
}

// Capacity is the number of machines of a pool that the cloud has. A number is -1 if it is not given.
type Capacity struct {
	Pool           model.Pool
	Ordinary, Spot int
}

// ReadMachines reads (machines (capacity "type" "zone" (ordinary 20) (spot 5)) (type "type"
// (price 2.5) (spot-price 1) (boot "30s") (fetch 0.5)) ...): the cloud's capacity, prices per
// hour, boot times and the fetch rate in GB per second. An unknown type or zone is an error.
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
	counts := setters{"ordinary": nonNegative(&ordinary), "spot": nonNegative(&spot)}
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
		"price":      nonNegative(&machineType.Price),
		"spot-price": nonNegative(&machineType.SpotPrice),
		"fetch":      nonNegative(&machineType.FetchGBPerS),
		"boot":       positiveDuration(&machineType.Boot),
	}
	if err := properties.apply(rest); err != nil {
		return fieldError(fmt.Sprintf("type %q", name), err)
	}
	types[name] = machineType
	return nil
}
