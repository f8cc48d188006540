package scheduler

import (
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// applyPlan reconciles gangs, empties and quarantines machines, and returns the launches
// and terminations that the autoscaler decides on. It cordons the machines to terminate.
func (s *Scheduler) applyPlan(now time.Time) []autoscaler.Action {
	s.cluster.ReconcileGangs(now)
	s.cluster.StopTasksOnLeavingMachines(now)
	s.cluster.MaintainHeadroom(now)
	s.cluster.Consolidate(now)
	s.quarantineFaultyMachines()
	s.cluster.SetUpcomingJobs(s.graph.Upcoming(), now)
	actions := s.autoscaler.Tick(now, s.cluster.UnmetDemands(now), s.cluster.Machines(), s.types, s.cluster.TakeoverComplete())
	s.cordonTerminating(actions)
	return actions
}

func (s *Scheduler) quarantineFaultyMachines() {
	for _, machine := range s.cluster.FaultyMachines(s.config.Errors) {
		s.log.Warn("machine fails its tasks", "machine", machine.Name)
		s.cluster.Quarantine(machine)
	}
}

// cordonTerminating cordons the machines that are about to be terminated, so that no task
// is placed on them.
func (s *Scheduler) cordonTerminating(actions []autoscaler.Action) {
	for _, action := range actions {
		for _, name := range action.Terminate {
			if machine := s.cluster.Machines().At(name); machine != nil {
				s.cluster.Cordon(machine)
			}
		}
	}
}

func (s *Scheduler) applyLaunchDone(now time.Time, event *recordpb.Rented) (resolved bool) {
	return s.autoscaler.LaunchDone(event.Charter, autoscaler.Result(event.Result), event.Names, now)
}

func (s *Scheduler) applyTerminateDone(now time.Time, event *recordpb.Released) {
	s.autoscaler.TerminateDone(event.Names, event.Ok, now)
	if !event.Ok {
		return
	}
	for _, name := range event.Names {
		s.cluster.MachineTerminated(name, now)
	}
}

// applyListed reconciles the cloud's list with the cluster state and returns the machines
// to terminate: those that failed, and those that are no longer listed and sent no heartbeat
// for longer than missingAfter.
func (s *Scheduler) applyListed(now time.Time, list *recordpb.Listed) []string {
	machines := make([]autoscaler.CloudMachine, 0, len(list.Machines))
	listed := make(map[string]bool, len(list.Machines))
	for _, machine := range list.Machines {
		machines = append(machines, cloudMachine(machine))
		listed[machine.Name] = true
	}
	terminate := s.autoscaler.ReconcileList(machines, s.cluster.Machines(), now)
	terminate = append(terminate, s.cluster.MissingMachines(listed, now.Add(-s.missingAfter()))...)
	terminate = s.autoscaler.MarkTerminating(terminate)
	s.noteDecision(func(d *recordpb.Decided) { d.Returns = terminate })
	return terminate
}

// missingAfter returns how long a machine that is not listed may send no heartbeat before it
// counts as missing.
//
// Guard: a takeover waits for every machine with a record, including machines that were
// preempted or died while there was no leader. They are terminated, which proves that they
// are gone, as soon as a running machine would have sent a heartbeat: an agent sends one on
// its own within that time, and is also probed.
func (s *Scheduler) missingAfter() time.Duration {
	if !s.cluster.TakeoverComplete() && s.config.Greeted > 0 {
		return s.config.Greeted
	}
	return s.config.Unheard
}

func cloudMachine(machine *recordpb.ListedMachine) autoscaler.CloudMachine {
	return autoscaler.CloudMachine{
		Name:    machine.Name,
		Pool:    model.Pool{Type: machine.Type, Zone: machine.Zone},
		Spot:    machine.Spot,
		Booting: machine.Booting,
		Failed:  machine.Failed,
		Age:     time.Duration(machine.AgeNs),
	}
}
