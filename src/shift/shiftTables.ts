/** Creates the tables of shifts. */

import { RowTable } from '../core/table.js'
import { OverflowCache } from './capacityOverflow.js'
import type { AwayLimitRow, ShiftRow, ShiftTables } from './types.js'

/** Returns empty tables of shifts. */
export const createShiftTables = (): ShiftTables => ({
  overflow: new OverflowCache(),
  shifts: new RowTable<string, ShiftRow>(row => row.subject),
  awayLimits: new RowTable<string, AwayLimitRow>(row => row.key)
})
