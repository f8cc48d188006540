package lab

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Fault is a fault that a lab injects, or the end of one.
type Fault struct {
	Op   string        `json:"op"`   // one of FaultOps
	Name string        `json:"name"` // a controller or a machine
	To   string        `json:"to"`   // other end of a cut: a controller, "store" or "cloud"; empty for all of them
	For  time.Duration `json:"for"`  // how long a machine hangs, a controller is frozen or calls are repeated, or the notice of a recall
}

// FaultOps lists the operations with a description of each.
var FaultOps = [][2]string{
	{"kill", "end a controller at once"},
	{"start", "start a controller that was killed"},
	{"freeze", "have a controller stand still for a while"},
	{"cut", "cut a controller off from another, from the store or the cloud, or from all"},
	{"heal", "heal what was cut of a controller, or everything"},
	{"refuse", "have the store refuse everybody"},
	{"serve", "have the store serve again"},
	{"hang", "have a machine hang for a while"},
	{"recall", "have the cloud take a machine away after a notice"},
	{"repeat", "for a while, have direct calls that were answered reach their machines twice more, later"},
}

// Fault injects a fault.
func (l *Lab) Fault(fault Fault) error {
	switch fault.Op {
	case "kill", "start", "freeze", "cut":
		return l.controllerFault(fault)
	case "heal":
		return l.cut(fault.Name, fault.To, false)
	case "refuse", "serve":
		l.state.Refuse(fault.Op == "refuse")
		return nil
	case "hang", "recall":
		return l.machineFault(fault)
	case "repeat":
		l.cloud.RepeatCalls(max(fault.For, time.Second))
		return nil
	}
	return fmt.Errorf("no fault %q", fault.Op)
}

// controllerFault injects a fault of one controller.
func (l *Lab) controllerFault(fault Fault) error {
	i := slices.IndexFunc(l.nodes, func(controller *node) bool { return controller.name == fault.Name })
	if i < 0 {
		return fmt.Errorf("no controller %q; there are %s", fault.Name, strings.Join(Controllers, ", "))
	}
	controller := l.nodes[i]
	switch fault.Op {
	case "kill":
		return l.kill(controller)
	case "start":
		if l.Up()[controller.name] {
			return fmt.Errorf("%s runs", controller.name)
		}
		return l.run(controller)
	case "freeze":
		return freeze(controller, max(fault.For, time.Second))
	}
	return l.cut(fault.Name, fault.To, true)
}

// kill kills a controller's process and waits until it has ended.
func (l *Lab) kill(controller *node) error {
	if !l.Up()[controller.name] {
		return fmt.Errorf("%s does not run", controller.name)
	}
	if err := controller.cmd.Process.Kill(); err != nil {
		return err
	}
	<-controller.ended
	return nil
}

// freeze stops a controller's process with SIGSTOP and continues it after a time.
func freeze(controller *node, span time.Duration) error {
	process := controller.cmd.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(span, func() { _ = process.Signal(syscall.SIGCONT) })
	return nil
}

// machineFault injects a fault of one machine.
func (l *Lab) machineFault(fault Fault) error {
	span, happens := max(fault.For, time.Second), l.cloud.Hang
	if fault.Op == "recall" {
		happens = l.cloud.Recall
	}
	if !happens(fault.Name, span) {
		return fmt.Errorf("no machine %q", fault.Name)
	}
	return nil
}

// cut cuts or heals the links between a controller and another process, in both directions. An empty name stands for
// all.
func (l *Lab) cut(name, to string, on bool) error {
	hit := false
	for ends, k := range l.links {
		is := func(x string, at int) bool { return x == "" || ends[at] == x }
		if (is(name, 0) && is(to, 1)) || (is(name, 1) && is(to, 0)) {
			k.Cut(on)
			hit = true
		}
	}
	if !hit {
		return fmt.Errorf("no link between %q and %q", name, to)
	}
	return nil
}
