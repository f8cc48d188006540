package scale

import (
	"fmt"
	"syscall"

	"github.com/prometheus/procfs"
)

// Resources that a run needs: generous estimates from measured runs.
const (
	filesPerMachine = 4       // files of a region's process: listener, heartbeat, direct calls, a closing connection
	filesBesides    = 2000    // connections of the region's controllers and users
	bytesPerMachine = 1 << 20 // hollow worker, its tasks, and their share of the controllers' memory
	bytesPerProcess = 200 << 20
	processesAtOnce = regionsPlanned * (1 + controllersEach)
	kilobyte        = 1024
	memoryDivisor   = 2 // a run uses at most the machine's memory divided by this
)

// checkCapacity returns an error if the machine lacks the open files or the memory for a run. It is called before any
// process starts.
func (o Options) checkCapacity() error {
	machines := int(plannedMachines * o.Share)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("scale: limit of open files: %w", err)
	}
	if need := uint64(machines/regionsPlanned*filesPerMachine + filesBesides); files.Cur < need {
		return fmt.Errorf("%w: %d open files are allowed in a process, %d are needed", ErrCapacity, files.Cur, need)
	}
	most, err := memoryBound()
	if err != nil {
		return err
	}
	if need := uint64(machines*bytesPerMachine + processesAtOnce*bytesPerProcess); need > most {
		return fmt.Errorf("%w: some %d MB are needed, half of the memory is %d MB", ErrCapacity, need>>20, most>>20)
	}
	return nil
}

// memoryBound returns the most memory that a run may use, in bytes.
func memoryBound() (uint64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, fmt.Errorf("scale: memory of the machine: %w", err)
	}
	info, err := fs.Meminfo()
	if err != nil || info.MemTotal == nil {
		return 0, fmt.Errorf("scale: memory of the machine: %w", err)
	}
	return *info.MemTotal * kilobyte / memoryDivisor, nil
}
