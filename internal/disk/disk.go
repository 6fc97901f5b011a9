// Package disk stores whole files atomically: each is written under a temporary name,
// synced and renamed, and its folder is synced, before the write counts as durable. Every
// file carries a checksum.
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

// FS is the operations on one folder. Dir is the real one; tests use one in memory that
// loses unsynced bytes.
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

// Save stores data under name. When it returns nil, both the file and its folder are
// synced: without the folder, a power failure could lose the name even though the file's
// bytes were synced.
func Save(fs FS, name string, data []byte) error {
	return SaveAll(fs, []NamedFile{{name, data}})
}

// NamedFile is a file's name and content.
type NamedFile struct {
	Name string
	Data []byte
}

// SaveAll stores several files with a single sync of their folder. When it returns nil, all
// are durable; on an error any of them may have been stored, and none is guaranteed.
func SaveAll(fs FS, files []NamedFile) error {
	for _, f := range files {
		if err := writeFile(fs, f.Name, f.Data); err != nil {
			return fault.Wrap(fault.Disk, err, "save "+f.Name)
		}
	}
	return fault.Wrap(fault.Disk, fs.SyncDir(), "sync folder")
}

// writeFile writes a file under a temporary name, syncs it and renames it. The new name is
// durable once the folder is synced.
func writeFile(fs FS, name string, data []byte) error {
	checksum := sha256.Sum256(data)
	header := append(append([]byte(nil), magic...), checksum[:]...)
	header = binary.BigEndian.AppendUint32(header, uint32(len(data)))
	file, err := fs.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	// Two writes save a copy of the data, which may be large.
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
		// A leftover file must not take disk space from the next attempt.
		_ = fs.Remove(name + temporarySuffix)
	}
	return err
}

// IsFull reports whether a write failed because the disk or the quota was full.
func IsFull(err error) bool {
	return fault.CausedBy(err, syscall.ENOSPC) || fault.CausedBy(err, syscall.EDQUOT)
}

// Load reads a stored file and verifies its header, length and checksum.
func Load(fs FS, name string) ([]byte, error) {
	raw, err := fs.Read(name)
	if err != nil {
		return nil, fault.Wrap(fault.Disk, err, "read "+name)
	}
	dataOffset := len(magic) + sha256.Size + 4
	if len(raw) < dataOffset || !bytes.Equal(raw[:len(magic)], magic) {
		return nil, fault.New(fault.Stale, "file %s has a bad header", name)
	}
	data := raw[dataOffset:]
	checksum := sha256.Sum256(data)
	if int(binary.BigEndian.Uint32(raw[dataOffset-4:dataOffset])) != len(data) || !bytes.Equal(checksum[:], raw[len(magic):dataOffset-4]) {
		return nil, fault.New(fault.Stale, "file %s fails its checksum", name)
	}
	return data, nil
}

// AdoptUnrenamed completes the rename of intact temporary files whose names begin with a
// prefix. Programs up to v0.1 counted a file as durable before its folder was synced, so
// a power failure could undo the rename of such a file. A temporary file beside one of
// the final name never counted and is left alone.
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

// Names returns the sorted names of the files that begin with a prefix. It removes all
// leftover temporary files.
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

// Dir is a folder on a real disk.
type Dir struct{ root string }

// Open opens a folder and creates it if need be.
func Open(root string) (*Dir, error) {
	if err := os.MkdirAll(root, 0o755); err != nil {
		return nil, fault.Wrap(fault.Disk, err, "create data folder")
	}
	return &Dir{root: root}, nil
}

func (d *Dir) path(name string) string { return filepath.Join(d.root, name) }

// Create creates a file for writing.
func (d *Dir) Create(name string) (File, error) { return os.Create(d.path(name)) }

// Rename renames a file, replacing any of the new name.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove deletes a file.
func (d *Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Read reads a whole file.
func (d *Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// SyncDir makes preceding renames durable.
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

// List returns the names of the files in the folder.
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
