// Importing "C" makes the binary dynamically linked against the system's C
// library. The platform preloads a library into each process (LD_PRELOAD), which a
// static binary would not load.

package main

import "C"
