package settings

import (
	"net/netip"
	"strings"
)

// SingleRegion is the region's name if the deployment is the only region.
const SingleRegion = "off"

// maxRegionName is the maximum length of a region's name.
const maxRegionName = 40

// Region is another region, with the addresses at which its controllers reach each other.
type Region struct {
	Name  string
	Addrs []string
}

// OtherRegions parses regions.others. Regions are separated by semicolons; each consists of a name and addresses
// separated by spaces. It returns no regions if the deployment is the only one.
func (o *Operator) OtherRegions() ([]Region, error) {
	name, others := o.Regions.Name, o.Regions.Others
	if name == SingleRegion && others == "" {
		return nil, nil
	}
	if name != SingleRegion && (!validRegionName(name) || others == "") {
		return nil, fieldErrorf("regions.name", "neither \"off\" nor a name of small letters, digits and - beside others: %q", name)
	}
	out, err := readRegions(name, others)
	if err != nil || name == SingleRegion {
		return nil, err
	}
	return out, nil
}

// readRegions parses the regions other than the one called name.
func readRegions(name, others string) (out []Region, err error) {
	seen := map[string]bool{name: true}
	for _, text := range strings.Split(others, ";") {
		words := strings.Fields(text)
		switch {
		case len(words) < 2:
			return nil, fieldErrorf("regions.others", `expected "south 10.1.0.1:8081 10.1.0.2:8081; west 10.2.0.1:8081"`)
		case !validRegionName(words[0]) || seen[words[0]]:
			return nil, fieldErrorf("regions.others", "not a name of small letters, digits and -, or given twice: %q", words[0])
		}
		seen[words[0]] = true
		for _, addr := range words[1:] {
			if _, err := netip.ParseAddrPort(addr); err != nil {
				return nil, fieldErrorf("regions.others", "%s: not an address with a port: %q", words[0], addr)
			}
		}
		out = append(out, Region{words[0], words[1:]})
	}
	return out, nil
}

// validRegionName reports whether s is a valid name of a region.
func validRegionName(s string) bool {
	return s != "" && s != SingleRegion && len(s) <= maxRegionName && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
