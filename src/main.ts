/** Main module of the `rhubarbseam` binary. */

import './process/hostSignals.js'
import { main } from './command-line/main.js'

void main(process.argv)
