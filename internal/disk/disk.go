// Package disk keeps whole files: written aside, synced, renamed, and the
// folder synced, before the write counts. Every file carries a checksum.
package disk

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"syscall"

	"puffincrank/internal/fault"
)

// FS is what a folder must do. The real one is Dir; tests have one in memory
// that loses unsynced bytes.
type FS interface {
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
	Read(name string) ([]byte, error)
	List() ([]string, error)
}

// File is a file being written.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

const temporarySuffix = ".aside"

var magic = []byte("PUFFIN1\n")

// Save keeps data under name; when it returns nil the bytes are synced, and so is the
// folder: a name whose folder isn't may be lost with power, whatever was synced of
// the file.
func Save(fs FS, name string, data []byte) error {
	return SaveAll(fs, []NamedFile{{name, data}})
}

// NamedFile is the content of a file and its name.
type NamedFile struct {
	Name string
	Data []byte
}

// SaveAll keeps several files with one sync of their folder. When it returns nil all
// are kept; else any of them may be, and none is to be counted on.
func SaveAll(fs FS, files []NamedFile) error {
	for _, f := range files {
		if err := write(fs, f.Name, f.Data); err != nil {
			return fault.Wrap(fault.Disk, err, "keep "+f.Name)
		}
	}
	return fault.Wrap(fault.Disk, fs.SyncDir(), "keep names in folder")
}

// write makes a file aside, syncs it and gives it its name, which lasts once the
// folder is synced.
func write(fs FS, name string, data []byte) error {
	sum := sha256.Sum256(data)
	head := append(append([]byte(nil), magic...), sum[:]...)
	head = binary.BigEndian.AppendUint32(head, uint32(len(data)))
	f, err := fs.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	// In two writes: a copy of the data, which may be large, is spared.
	if _, err = f.Write(head); err == nil {
		_, err = f.Write(data)
	}
	if err == nil {
		err = f.Sync()
	}
	if end := f.Close(); err == nil {
		err = end
	}
	if err == nil {
		err = fs.Rename(name+temporarySuffix, name)
	}
	if err != nil {
		// A left-over must not eat the room of the next try.
		_ = fs.Remove(name + temporarySuffix)
	}
	return err
}

// IsFull tells that a write was refused for want of room.
func IsFull(err error) bool {
	return fault.CausedBy(err, syscall.ENOSPC) || fault.CausedBy(err, syscall.EDQUOT)
}

// Load reads a kept file and checks it whole.
func Load(fs FS, name string) ([]byte, error) {
	raw, err := fs.Read(name)
	if err != nil {
		return nil, fault.Wrap(fault.Disk, err, "read "+name)
	}
	at := len(magic) + sha256.Size + 4
	if len(raw) < at || !bytes.Equal(raw[:len(magic)], magic) {
		return nil, fault.New(fault.Stale, "file %s has a bad head", name)
	}
	data := raw[at:]
	sum := sha256.Sum256(data)
	if int(binary.BigEndian.Uint32(raw[at-4:at])) != len(data) || !bytes.Equal(sum[:], raw[len(magic):at-4]) {
		return nil, fault.New(fault.Stale, "file %s fails its checksum", name)
	}
	return data, nil
}

// AdoptUnrenamed names the whole files of a prefix that were added when power was lost.
// Programs up to v0.1 counted a file as kept before its folder was synced. One whose
// name another file has was never the one that counted.
func AdoptUnrenamed(fs FS, prefix string) error {
	all, err := fs.List()
	if err != nil {
		return fault.Wrap(fault.Disk, err, "list folder")
	}
	took := false
	for _, n := range all {
		name, ok := strings.CutSuffix(n, temporarySuffix)
		if !ok || !strings.HasPrefix(name, prefix) || slices.Contains(all, name) {
			continue
		}
		if _, err := Load(fs, n); err != nil {
			continue
		}
		if err := fs.Rename(n, name); err != nil {
			return fault.Wrap(fault.Disk, err, "adopt "+name)
		}
		took = true
	}
	if !took {
		return nil
	}
	return fault.Wrap(fault.Disk, fs.SyncDir(), "adopt files")
}

// Names lists the whole files of a prefix in order; left-overs are removed.
func Names(fs FS, prefix string) ([]string, error) {
	all, err := fs.List()
	if err != nil {
		return nil, fault.Wrap(fault.Disk, err, "list folder")
	}
	var out []string
	for _, n := range all {
		if strings.HasSuffix(n, temporarySuffix) {
			_ = fs.Remove(n)
			continue
		}
		if strings.HasPrefix(n, prefix) {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out, nil
}

// Dir is a folder of the real disk.
type Dir struct{ root string }

// Open makes the folder if need be.
func Open(root string) (*Dir, error) {
	if err := os.MkdirAll(root, 0o755); err != nil {
		return nil, fault.Wrap(fault.Disk, err, "make data folder")
	}
	return &Dir{root: root}, nil
}

func (d *Dir) at(name string) string { return filepath.Join(d.root, name) }

// Create opens a new file for writing.
func (d *Dir) Create(name string) (File, error) { return os.Create(d.at(name)) }

// Rename moves a file over another.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }

// Remove drops a file.
func (d *Dir) Remove(name string) error { return os.Remove(d.at(name)) }

// Read reads a whole file.
func (d *Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

// SyncDir makes renames last.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.root)
	if err != nil {
		return err
	}
	err = f.Sync()
	if end := f.Close(); err == nil {
		err = end
	}
	return err
}

// List gives the names in the folder.
func (d *Dir) List() ([]string, error) {
	all, err := os.ReadDir(d.root)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range all {
		if !e.IsDir() {
			out = append(out, e.Name())
		}
	}
	return out, nil
}
