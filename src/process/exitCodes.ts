/** Exit codes of the command line, documented in docs/OPERATIONS.md. */

export const exitCodes = {
  success: 0,
  unhandledError: 1,
  wrongUse: 2,
  settingsInvalid: 3,
  cannotStart: 4,
  refused: 5,
  outcomeUnknown: 6,
  invariantBroken: 70,
  diskFailed: 74
} as const
