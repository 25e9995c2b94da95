package config

import (
	"net/netip"
	"slices"
	"strconv"

	"camphortrail/schema"
)

// LoadSettings reads and checks the settings of one process. If the file can be read but
// is invalid, the error is of type Problems, which matches ErrInvalid.
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

// CheckSettings checks settings that were not read from a file. It returns all problems
// as an error of type Problems, or nil.
func CheckSettings(st *schema.Settings) error { return checkSettings("", st).err() }

// checkSettings returns all problems of the settings in a file, or of settings that were
// not read from a file if file is empty.
func checkSettings(file string, st *schema.Settings) Problems {
	fs := &findings{file: file}
	fs.checkName("name", st.GetName())
	fs.checkName("deployment", st.GetDeployment())
	fs.checkName("failure-domain", st.GetFailureDomain())
	fs.checkReachableAddress("peer-address", st.GetPeerAddress())
	if isControl(st) {
		fs.checkControlSettings(st)
	} else {
		fs.checkNodeSettings(st)
	}
	fs.checkContacts(st.GetFirstContacts())
	fs.checkReplicas(st)
	return fs.problems
}

// isControl reports whether the process is itself one of the control replicas that its
// settings list.
func isControl(st *schema.Settings) bool {
	return slices.ContainsFunc(st.GetControlReplicas(), func(cr *schema.ControlReplica) bool {
		return cr.GetName() == st.GetName()
	})
}

// checkControlSettings checks the data folder and the local address of a control replica.
// The local address may be empty.
func (fs *findings) checkControlSettings(st *schema.Settings) {
	if st.GetDataFolder() == "" {
		fs.addText("data-folder", "", "must be set for a control replica")
	}
	if st.GetLocalAddress() != "" {
		fs.checkListenAddress("local-address", st.GetLocalAddress())
	}
}

// checkNodeSettings checks the addresses of a node, which must all differ.
func (fs *findings) checkNodeSettings(st *schema.Settings) {
	fs.checkListenAddress("caller-address", st.GetCallerAddress())
	fs.checkListenAddress("local-address", st.GetLocalAddress())
	used := make(fieldByValue)
	fs.checkUnique(used, "peer-address", st.GetPeerAddress())
	fs.checkUnique(used, "caller-address", st.GetCallerAddress())
	fs.checkUnique(used, "local-address", st.GetLocalAddress())
}

// checkContacts checks the addresses of the processes that a process joins through.
func (fs *findings) checkContacts(list []string) {
	seen := make(fieldByValue)
	for i, address := range list {
		field := elementPath("first-contacts", i)
		fs.checkReachableAddress(field, address)
		fs.checkUnique(seen, field, address)
	}
}

// checkReplicas checks the list of control replicas, which must give the replica itself
// its own peer address.
func (fs *findings) checkReplicas(st *schema.Settings) {
	byName, byAddress := make(fieldByValue), make(fieldByValue)
	for i, cr := range st.GetControlReplicas() {
		at := elementPath("control-replicas", i)
		fs.checkName(joinPath(at, "name"), cr.GetName())
		fs.checkReachableAddress(joinPath(at, "address"), cr.GetAddress())
		fs.checkUnique(byName, joinPath(at, "name"), cr.GetName())
		fs.checkUnique(byAddress, joinPath(at, "address"), cr.GetAddress())
		if cr.GetName() == st.GetName() && cr.GetAddress() != st.GetPeerAddress() {
			fs.addText(joinPath(at, "address"), cr.GetAddress(), "contradicts peer-address "+strconv.Quote(st.GetPeerAddress()))
		}
	}
}

// checkListenAddress checks an address on which the process listens.
func (fs *findings) checkListenAddress(field, value string) {
	if value == "" {
		fs.addText(field, value, "must be set")
		return
	}
	ap, err := netip.ParseAddrPort(value)
	if err != nil || ap.Port() == 0 {
		fs.addText(field, value, "must be IP:port with a port from 1 to 65535")
	}
}

// checkReachableAddress checks an address to which other processes send.
func (fs *findings) checkReachableAddress(field, value string) {
	fs.checkListenAddress(field, value)
	ap, err := netip.ParseAddrPort(value)
	if err == nil && (ap.Addr().IsUnspecified() || ap.Addr().IsMulticast()) {
		fs.addText(field, value, "must be the address of one process")
	}
}
