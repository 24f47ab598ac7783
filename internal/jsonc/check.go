package jsonc

// This file defines how a document is read and checked in one step. The invariant: a
// document that ParseChecked accepts has passed every check that its reader made.

import (
	"fmt"
	"os"
)

// Checker gathers what is wrong with a parsed document.
type Checker struct {
	doc      *Document
	problems Problems
}

// Want notes a problem with the field at path unless ok holds; found is its value, and
// allowed says what would have been right.
func (c *Checker) Want(ok bool, path string, found any, allowed string) {
	if !ok {
		c.problems = append(c.problems, c.doc.Problem(path, fmt.Sprint(found), allowed))
	}
}

// ParseChecked reads source into target and has check look at it. The error is of type
// Problems.
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

// LoadChecked is ParseChecked of a file. The error is of type Problems, or says why the
// file cannot be read.
func LoadChecked(file string, target any, check func(*Checker)) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return ParseChecked(file, source, target, check)
}
