package daemon

import "github.com/fennelcourse/fennelcourse/internal/settings"

// Reload reads the settings file again and adopts its datagram keys, so that keys can be
// rotated without a restart. TLS files are reloaded automatically. Nothing else changes,
// and a file with errors changes nothing.
func (n *Node) Reload(path string) {
	cfg, err := settings.Load(path)
	if err != nil {
		n.log.Error("reload refused", "path", path, "err", err.Error())
		return
	}
	keys, err := datagramKeys(cfg)
	if err == nil {
		err = n.keyring.Replace(keys...)
	}
	if err != nil {
		n.log.Error("reload refused", "path", path, "err", err.Error())
		return
	}
	n.log.Info("reloaded", "keys", len(keys), "signing_key", keys[0].ID)
}
