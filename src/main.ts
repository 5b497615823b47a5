/** Main module of the `rhubarbseam` binary. */

import { main } from './command-line/main.js'

void main(process.argv)
