package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// NoRegions as the name of the region says that the deployment is the only one.
const NoRegions = "off"

// Region is another region, with the addresses that its controllers reach each other at.
type Region struct {
	Name  string
	Addrs []string
}

// OtherRegions reads regions.others: regions apart by semicolons, each its name and then addresses,
// apart by spaces. None where the deployment is the only one.
func (o *Operator) OtherRegions() ([]Region, error) {
	name, others := o.Regions.Name, o.Regions.Others
	if name == NoRegions && others == "" {
		return nil, nil
	}
	if name != NoRegions && (!regionName(name) || others == "") {
		return nil, fmt.Errorf("regions.name: neither \"off\" nor a name of small letters, digits and - beside others: %q", name)
	}
	out, err := readRegions(name, others)
	if err != nil || name == NoRegions {
		return nil, err
	}
	return out, nil
}

// readRegions reads the regions besides one that has a name.
func readRegions(name, others string) (out []Region, err error) {
	seen := map[string]bool{name: true}
	for _, text := range strings.Split(others, ";") {
		words := strings.Fields(text)
		switch {
		case len(words) < 2:
			return nil, errors.New(`regions.others: expected "south 10.1.0.1:8081 10.1.0.2:8081; west 10.2.0.1:8081"`)
		case !regionName(words[0]) || seen[words[0]]:
			return nil, fmt.Errorf("regions.others: not a name of small letters, digits and -, or given twice: %q", words[0])
		}
		seen[words[0]] = true
		for _, addr := range words[1:] {
			if _, err := netip.ParseAddrPort(addr); err != nil {
				return nil, fmt.Errorf("regions.others: %s: not an address with a port: %q", words[0], addr)
			}
		}
		out = append(out, Region{words[0], words[1:]})
	}
	return out, nil
}

func regionName(s string) bool {
	return s != "" && s != NoRegions && len(s) <= 40 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
