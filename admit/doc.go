// Package admit decides whether a job is accepted when there is too little room, and
// when a refused caller should return. It reads no clock and makes no call: its caller
// passes what it knows of the backlog, and the age of that.
package admit
