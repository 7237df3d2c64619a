// The platform loads processes through the system's C library, so the program
// must be linked to it.

package main

import "C"
