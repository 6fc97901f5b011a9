package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"puffincrank/internal/standin/checker"
)

// restartProxy shuts down a proxy gracefully and starts it again.
func (f *fleet) restartProxy(m *machine, r *rand.Rand) {
	f.recorder.StopSignaled(m.name)
	f.stopGracefully(m.proxy)
	sleep(randomDuration(r, time.Millisecond, 400*time.Millisecond))
	f.startProxy(m)
}

// restartInTurn restarts up to three proxies one after another.
func (f *fleet) restartInTurn(r *rand.Rand) {
	for range 1 + r.IntN(3) {
		f.withMachine(r, checker.Planned+"roll", func(m *machine) { f.restartProxy(m, r) })
		sleep(randomDuration(r, time.Millisecond, 500*time.Millisecond))
	}
}

// restartTogether restarts several proxies whose shutdowns overlap. Some get a signal to
// reload their settings right before or during the shutdown.
func (f *fleet) restartTogether(r *rand.Rand) {
	var restarts sync.WaitGroup
	for range 2 + r.IntN(1+len(f.machines)/6) {
		random := rand.New(rand.NewPCG(r.Uint64(), 94))
		restarts.Add(1)
		f.tasks.Go("roll-at-once", func(context.Context) {
			defer restarts.Done()
			f.withMachine(random, checker.Planned+"roll", func(m *machine) { f.restartWithSignals(m, random) })
		})
		sleep(randomDuration(r, time.Millisecond, 700*time.Millisecond))
	}
	restarts.Wait()
}

// restartInSteps restarts several proxies, each one step after the stop signal to the one
// before it. So the ingress proxy of a request and the proxy beside its worker both shut
// down, one or more steps apart.
func (f *fleet) restartInSteps(r *rand.Rand) {
	var restarts sync.WaitGroup
	step := randomDuration(r, 700*time.Millisecond, 1300*time.Millisecond)
	for range 3 + r.IntN(1+len(f.machines)/3) {
		random := rand.New(rand.NewPCG(r.Uint64(), 95))
		restarts.Add(1)
		f.tasks.Go("roll-in-steps", func(context.Context) {
			defer restarts.Done()
			f.withMachine(random, checker.Planned+"roll", func(m *machine) { f.restartWithSignals(m, random) })
		})
		sleep(step)
	}
	restarts.Wait()
}

// restartWithSignals restarts a proxy. It may get a signal to reload its settings before or
// during the shutdown, a second stop signal, or no other signal.
func (f *fleet) restartWithSignals(m *machine, r *rand.Rand) {
	choice := r.IntN(4)
	if choice == 0 {
		f.reloadSettings(m)
		sleep(randomDuration(r, time.Millisecond, 300*time.Millisecond))
	}
	if choice == 1 {
		delay := randomDuration(r, time.Millisecond, 2*time.Second)
		f.tasks.Go("settings-in-stop", func(context.Context) {
			sleep(delay)
			m.proxy.Signal(syscall.SIGHUP)
		})
	}
	if choice == 2 {
		delay, pid := randomDuration(r, time.Millisecond, 4*time.Second), m.proxy.PID()
		f.tasks.Go("told-again", func(context.Context) {
			sleep(delay)
			m.proxy.SignalTo(pid, syscall.SIGTERM)
		})
	}
	f.restartProxy(m, r)
}

func (f *fleet) killProxy(r *rand.Rand) {
	f.withMachine(r, "killed", func(m *machine) { f.killAndStart(m, r) })
}

func (f *fleet) killAndStart(m *machine, r *rand.Rand) {
	m.proxy.Stop(syscall.SIGKILL, time.Second)
	sleep(randomDuration(r, 50*time.Millisecond, time.Second))
	f.startProxy(m)
}

func (f *fleet) pauseProxy(r *rand.Rand) {
	f.withMachine(r, "frozen", func(m *machine) {
		m.proxy.Signal(syscall.SIGSTOP)
		sleep(randomDuration(r, 100*time.Millisecond, 4*time.Second))
		m.proxy.Signal(syscall.SIGCONT)
	})
}

// pauseProxyWhileWorkerLeaves suspends a proxy while its worker deregisters.
func (f *fleet) pauseProxyWhileWorkerLeaves(r *rand.Rand) {
	f.withMachine(r, "frozen", func(m *machine) {
		workerLeft := make(chan struct{})
		m.proxy.Signal(syscall.SIGSTOP)
		f.tasks.Go("leave", func(context.Context) { m.currentWorker().Leave(context.Background()); close(workerLeft) })
		sleep(randomDuration(r, 100*time.Millisecond, 3*time.Second))
		m.proxy.Signal(syscall.SIGCONT)
		<-workerLeft
		f.startWorker(m)
	})
}

// reloadSettingsRepeatedly makes proxies reload their settings several times in a row. The
// settings have other seeds if control plane machines were replaced.
func (f *fleet) reloadSettingsRepeatedly(r *rand.Rand) {
	for range 2 + r.IntN(4) {
		f.withMachine(r, "", func(m *machine) { f.reloadSettings(m) })
		sleep(randomDuration(r, time.Millisecond, 300*time.Millisecond))
	}
}

func (f *fleet) reloadSettings(m *machine) {
	if err := f.writeProxySettings(m); err != nil {
		f.reportViolation("settings of %s: %v", m.name, err)
	}
	f.recorder.ReloadSignaled(m.name)
	m.proxy.Signal(syscall.SIGHUP)
}

// sendOverlappingSignals makes a proxy reload its settings, suspends it, sends it a stop
// signal meanwhile, resumes it and sends more signals.
func (f *fleet) sendOverlappingSignals(r *rand.Rand) {
	f.withMachine(r, "barrage", func(m *machine) {
		f.reloadSettings(m)
		m.proxy.Signal(syscall.SIGSTOP)
		f.recorder.StopSignaled(m.name)
		m.proxy.Signal(syscall.SIGTERM)
		sleep(randomDuration(r, time.Millisecond, 800*time.Millisecond))
		m.proxy.Signal(syscall.SIGCONT)
		for range r.IntN(4) {
			m.proxy.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT}[r.IntN(4)])
			sleep(randomDuration(r, time.Millisecond, 200*time.Millisecond))
		}
		m.proxy.Signal(syscall.SIGCONT)
		f.stopGracefully(m.proxy)
		f.startProxy(m)
	})
}

// killManyProxies kills a sixth of the proxies at once.
func (f *fleet) killManyProxies(r *rand.Rand) {
	var kills sync.WaitGroup
	for range max(1, len(f.machines)/6) {
		seed := r.Uint64()
		kills.Add(1)
		f.tasks.Go("herd", func(context.Context) {
			defer kills.Done()
			f.killProxy(rand.New(rand.NewPCG(seed, 93)))
		})
	}
	kills.Wait()
}
