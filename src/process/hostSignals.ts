/** Imported first by the binary: a host handles its signals before the other modules are loaded; the other commands end by them. */

import { ProcessSignals } from './processSignals.js'

const RUN_COMMAND = 'run'

if (process.argv[2] === RUN_COMMAND) ProcessSignals.ofProcess()
