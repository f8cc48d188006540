package placement

import (
	"slices"

	"github.com/marlwood/marlwood/internal/model"
)

// cachedImage is an image in a machine's cache.
type cachedImage struct {
	name string
	gb   float64
}

// addCachedImage records that a machine has a job's image, because a task of the job has finished fetching it.
// The cache holds the most recently used images.
func (cs *ClusterState) addCachedImage(machine *Machine, spec *model.Job) {
	if n := len(machine.images); n > 0 && machine.images[n-1].name == spec.Image {
		return
	}
	machine.images = slices.DeleteFunc(machine.images, func(image cachedImage) bool { return image.name == spec.Image })
	machine.images = append(machine.images, cachedImage{spec.Image, spec.ImageGB})
	cs.addHolder(machine, spec.Image)
	total := 0.0
	for _, image := range machine.images {
		total += image.gb
	}
	for total > cs.types[machine.Pool.Type].CacheGB && len(machine.images) > 1 {
		total -= machine.images[0].gb
		cs.removeHolder(machine, machine.images[0].name)
		machine.images = machine.images[1:]
	}
}

// dropImages removes the record of all images of a machine.
func (cs *ClusterState) dropImages(machine *Machine) {
	for _, image := range machine.images {
		cs.removeHolder(machine, image.name)
	}
	machine.images = nil
}

// addHolder adds a machine to the holders of an image, the machines that have it.
func (cs *ClusterState) addHolder(machine *Machine, image string) {
	if cs.imageHolders[image] == nil {
		cs.imageHolders[image] = model.NewTable[string, *Machine]()
	}
	cs.imageHolders[image].Put(machine.Name, machine)
}

// removeHolder removes a machine from the holders of an image.
func (cs *ClusterState) removeHolder(machine *Machine, image string) {
	cs.imageHolders[image].Delete(machine.Name)
	if cs.imageHolders[image].Len() == 0 {
		delete(cs.imageHolders, image)
	}
}

// machineHasImage reports whether a machine has an image.
func (cs *ClusterState) machineHasImage(machine *Machine, image string) bool {
	return cs.imageHolders[image].At(machine.Name) != nil
}
