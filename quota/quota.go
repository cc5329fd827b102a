// Package quota holds the request rates that targets in need accept.
package quota
