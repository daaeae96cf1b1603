package daemon

import "github.com/fennelcourse/fennelcourse/internal/settings"

// Reload reads the settings file again and takes over its datagram keys: keys are
// rotated without a restart. TLS files are read again by themselves. Nothing else
// changes; a file with errors changes nothing.
func (n *Node) Reload(path string) {
	set, err := settings.Load(path)
	if err != nil {
		n.log.Error("reload refused", "path", path, "err", err.Error())
		return
	}
	keys, err := datagramKeys(set)
	if err == nil {
		err = n.keyring.Swap(keys...)
	}
	if err != nil {
		n.log.Error("reload refused", "path", path, "err", err.Error())
		return
	}
	n.log.Info("reloaded", "keys", len(keys), "signing_key", keys[0].ID)
}
