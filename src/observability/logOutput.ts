/** The standard output of a process as a log target. Lines that cannot be written are lost and counted; the process goes on. */

import { fstatSync, writeSync } from 'node:fs'
import { isatty } from 'node:tty'

/** Descriptor of standard output. */
const STANDARD_OUTPUT = 1
/** Maximum size of the lines that wait for a slow reader, in characters. */
const MAX_WAITING_LENGTH = 1024 * 1024
const NEWLINE = 0x0a

// Files are written at once: Node.js ends its own stream to a file after the first error, also if there is room again later.
class FileTarget {
  #isWithinLine = false

  /** Writes a line. */
  write (line: string, onLost: () => void): void {
    const bytes = Buffer.from(this.#isWithinLine ? `\n${line}` : line)
    let written = 0
    try {
      while (written < bytes.length) written += writeSync(STANDARD_OUTPUT, bytes, written)
    } catch {
      // The rest of the line is lost.
    }
    if (written > 0) this.#isWithinLine = bytes[written - 1] !== NEWLINE
    if (written < bytes.length) onLost()
  }
}

class StreamTarget {
  constructor (readonly stream: NodeJS.WriteStream) {
    stream.on('error', () => {})
  }

  /** Queues a line. */
  write (line: string, onLost: () => void): void {
    if (this.stream.writableLength > MAX_WAITING_LENGTH) onLost()
    else this.stream.write(line, error => { if (error) onLost() })
  }
}

const isFile = (): boolean => {
  try {
    const status = fstatSync(STANDARD_OUTPUT)
    return status.isFile() || (status.isCharacterDevice() && !isatty(STANDARD_OUTPUT))
  } catch {
    return false
  }
}

/** Where the log goes. A process has one. */
class LogOutput {
  /** Number of lines that could not be written. */
  lostLines = 0
  #target: FileTarget | StreamTarget | null = null

  /** Writes a line. The parameter has the type that the log library gives it. */
  write (line: unknown): void {
    this.#target ??= isFile() ? new FileTarget() : new StreamTarget(process.stdout)
    this.#target.write(String(line), () => { this.lostLines += 1 })
  }
}

/** The log output of this process. */
export const logOutput = new LogOutput()
