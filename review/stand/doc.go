// Package stand holds the stand-ins that the review's scripts share: the platform's store, runners,
// clients, and the boxes as processes. They follow the users' pages.
package stand
