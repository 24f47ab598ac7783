package jsonc

// This file defines parsing and validation in one step. The invariant: a document that
// ParseChecked accepts has passed every check of its check function.

import (
	"fmt"
	"os"
)

// Checker collects the problems of a parsed document.
type Checker struct {
	doc      *Document
	problems Problems
}

// Want records a problem with the field at path unless ok is true. found is the field's
// value, and allowed describes the values that are valid.
func (c *Checker) Want(ok bool, path string, found any, allowed string) {
	if !ok {
		c.problems = append(c.problems, c.doc.Problem(path, fmt.Sprint(found), allowed))
	}
}

// ParseChecked parses source into target and then calls check to validate it; file is the
// name in error messages. The error is of type Problems.
func ParseChecked(file string, source []byte, target any, check func(*Checker)) error {
	doc, err := Parse(file, source, target)
	if err != nil {
		return err
	}
	c := &Checker{doc: doc}
	check(c)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

// LoadChecked is ParseChecked for the content of a file. The error is of type Problems, or
// the error of reading the file.
func LoadChecked(file string, target any, check func(*Checker)) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return ParseChecked(file, source, target, check)
}
