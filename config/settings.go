package config

import (
	"net/netip"
	"slices"
	"strconv"

	"camphortrail/schema"
)

// LoadSettings reads the settings of one process and checks them. A file that
// can be read but is refused gives Problems, which match ErrInvalid.
func LoadSettings(path string) (*schema.Settings, error) {
	st := &schema.Settings{}
	problems, err := decodeFile(path, st)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, problems
	}
	if err := checkSettings(path, st).err(); err != nil {
		return nil, err
	}
	return st, nil
}

// CheckSettings returns Problems with all findings in settings, or nil.
func CheckSettings(st *schema.Settings) error { return checkSettings("", st).err() }

func checkSettings(file string, st *schema.Settings) Problems {
	fs := &findings{file: file}
	fs.name("name", st.GetName())
	fs.name("deployment", st.GetDeployment())
	fs.name("failure-domain", st.GetFailureDomain())
	fs.reachable("peer-address", st.GetPeerAddress())
	if isControl(st) {
		fs.controlProcess(st)
	} else {
		fs.nodeProcess(st)
	}
	fs.contacts(st.GetFirstContacts())
	fs.replicas(st)
	return fs.problems
}

// isControl reports whether the settings are those of a control replica.
func isControl(st *schema.Settings) bool {
	return slices.ContainsFunc(st.GetControlReplicas(), func(cr *schema.ControlReplica) bool {
		return cr.GetName() == st.GetName()
	})
}

func (fs *findings) controlProcess(st *schema.Settings) {
	if st.GetDataFolder() == "" {
		fs.text("data-folder", "", "must be set for a control replica")
	}
	if st.GetLocalAddress() != "" {
		fs.address("local-address", st.GetLocalAddress())
	}
}

func (fs *findings) nodeProcess(st *schema.Settings) {
	fs.address("caller-address", st.GetCallerAddress())
	fs.address("local-address", st.GetLocalAddress())
	used := make(names)
	fs.unique(used, "peer-address", st.GetPeerAddress())
	fs.unique(used, "caller-address", st.GetCallerAddress())
	fs.unique(used, "local-address", st.GetLocalAddress())
}

func (fs *findings) contacts(list []string) {
	seen := make(names)
	for i, address := range list {
		field := index("first-contacts", i)
		fs.reachable(field, address)
		fs.unique(seen, field, address)
	}
}

func (fs *findings) replicas(st *schema.Settings) {
	byName, byAddress := make(names), make(names)
	for i, cr := range st.GetControlReplicas() {
		at := index("control-replicas", i)
		fs.name(join(at, "name"), cr.GetName())
		fs.reachable(join(at, "address"), cr.GetAddress())
		fs.unique(byName, join(at, "name"), cr.GetName())
		fs.unique(byAddress, join(at, "address"), cr.GetAddress())
		if cr.GetName() == st.GetName() && cr.GetAddress() != st.GetPeerAddress() {
			fs.text(join(at, "address"), cr.GetAddress(), "contradicts peer-address "+strconv.Quote(st.GetPeerAddress()))
		}
	}
}

// address checks an address that the process listens on.
func (fs *findings) address(field, value string) {
	if value == "" {
		fs.text(field, value, "must be set")
		return
	}
	ap, err := netip.ParseAddrPort(value)
	if err != nil || ap.Port() == 0 {
		fs.text(field, value, "must be IP:port with a port from 1 to 65535")
	}
}

// reachable checks an address that other processes send to.
func (fs *findings) reachable(field, value string) {
	fs.address(field, value)
	ap, err := netip.ParseAddrPort(value)
	if err == nil && (ap.Addr().IsUnspecified() || ap.Addr().IsMulticast()) {
		fs.text(field, value, "must be the address of one process")
	}
}
