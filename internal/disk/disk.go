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
		if err := writeFile(fs, f.Name, f.Data); err != nil {
			return fault.Wrap(fault.Disk, err, "keep "+f.Name)
		}
	}
	return fault.Wrap(fault.Disk, fs.SyncDir(), "keep names in folder")
}

// writeFile makes a file aside, syncs it and gives it its name, which lasts once the
// folder is synced.
func writeFile(fs FS, name string, data []byte) error {
	checksum := sha256.Sum256(data)
	header := append(append([]byte(nil), magic...), checksum[:]...)
	header = binary.BigEndian.AppendUint32(header, uint32(len(data)))
	file, err := fs.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	// In two writes: a copy of the data, which may be large, is spared.
	if _, err = file.Write(header); err == nil {
		_, err = file.Write(data)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
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
	return fault.Has(err, syscall.ENOSPC) || fault.Has(err, syscall.EDQUOT)
}

// Load reads a kept file and checks it whole.
func Load(fs FS, name string) ([]byte, error) {
	raw, err := fs.Read(name)
	if err != nil {
		return nil, fault.Wrap(fault.Disk, err, "read "+name)
	}
	dataOffset := len(magic) + sha256.Size + 4
	if len(raw) < dataOffset || !bytes.Equal(raw[:len(magic)], magic) {
		return nil, fault.New(fault.Stale, "file %s has a bad head", name)
	}
	data := raw[dataOffset:]
	checksum := sha256.Sum256(data)
	if int(binary.BigEndian.Uint32(raw[dataOffset-4:dataOffset])) != len(data) || !bytes.Equal(checksum[:], raw[len(magic):dataOffset-4]) {
		return nil, fault.New(fault.Stale, "file %s fails its checksum", name)
	}
	return data, nil
}

// AdoptUnrenamed names the whole files of a prefix that were added when power was lost.
// Programs up to v0.1 counted a file as kept before its folder was synced. One whose
// name another file has was never the one that counted.
func AdoptUnrenamed(fs FS, prefix string) error {
	names, err := fs.List()
	if err != nil {
		return fault.Wrap(fault.Disk, err, "list folder")
	}
	adopted := false
	for _, temporary := range names {
		name, ok := strings.CutSuffix(temporary, temporarySuffix)
		if !ok || !strings.HasPrefix(name, prefix) || slices.Contains(names, name) {
			continue
		}
		if _, err := Load(fs, temporary); err != nil {
			continue
		}
		if err := fs.Rename(temporary, name); err != nil {
			return fault.Wrap(fault.Disk, err, "adopt "+name)
		}
		adopted = true
	}
	if !adopted {
		return nil
	}
	return fault.Wrap(fault.Disk, fs.SyncDir(), "adopt files")
}

// Names lists the whole files of a prefix in order; left-overs are removed.
func Names(fs FS, prefix string) ([]string, error) {
	files, err := fs.List()
	if err != nil {
		return nil, fault.Wrap(fault.Disk, err, "list folder")
	}
	var names []string
	for _, file := range files {
		if strings.HasSuffix(file, temporarySuffix) {
			_ = fs.Remove(file)
			continue
		}
		if strings.HasPrefix(file, prefix) {
			names = append(names, file)
		}
	}
	sort.Strings(names)
	return names, nil
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

func (d *Dir) path(name string) string { return filepath.Join(d.root, name) }

// Create opens a new file for writing.
func (d *Dir) Create(name string) (File, error) { return os.Create(d.path(name)) }

// Rename moves a file over another.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove drops a file.
func (d *Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Read reads a whole file.
func (d *Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// SyncDir makes renames last.
func (d *Dir) SyncDir() error {
	dir, err := os.Open(d.root)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return err
}

// List gives the names in the folder.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.root)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}
