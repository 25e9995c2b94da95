package soak

import (
	"os/exec"
	"syscall"

	"camphortrail/internal/lab/soak/faultdisk"
)

// WithDiskFaults returns the options with control replicas that run on disks with faults.
func (opt Options) WithDiskFaults() Options {
	edit := opt.EditCommand
	opt.EditCommand = func(ma *Machine, cmd *exec.Cmd) {
		if ma.Kind == ControlMachine {
			cmd.Args[1] += "-faults"
		}
		if edit != nil {
			edit(ma, cmd)
		}
	}
	return opt
}

// SetDiskMode changes the mode of the disk of a control replica; see Options.WithDiskFaults.
func (ma *Machine) SetDiskMode(mode faultdisk.Mode) error {
	cause := "disk " + string(mode)
	ma.fl.Recorder.Add(Impaired{VM: ma.Name, At: ma.fl.Recorder.Now(), Cause: cause, Over: mode == faultdisk.Sound})
	return faultdisk.SetMode(ma.DiskFolder(), mode)
}

// LosePower kills the processes of the machines at the same moment. Their disks then hold what was
// synced, and of the rest what the seed decides; see Options.WithDiskFaults. The disks are sound
// again.
func (fl *Fleet) LosePower(seed Seed, machines ...*Machine) (faultdisk.Loss, error) {
	var total faultdisk.Loss
	for _, ma := range machines {
		ma.Signal(syscall.SIGKILL)
	}
	for _, ma := range machines {
		ma.Kill()
		if ma.Kind != ControlMachine {
			continue
		}
		ls, err := faultdisk.LosePower(ma.DiskFolder(), seed.Rand(string(ma.Name)).Uint64())
		if err != nil {
			return total, err
		}
		total.Add(ls)
		if err := faultdisk.SetMode(ma.DiskFolder(), faultdisk.Sound); err != nil {
			return total, err
		}
	}
	return total, nil
}
