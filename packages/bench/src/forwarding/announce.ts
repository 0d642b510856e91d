/** Files in which the processes of a measurement publish their addresses. */
import {readFileSync, renameSync, writeFileSync} from 'node:fs';

export interface TargetAnnouncement {
  readonly address: string;
}

export interface EntryAnnouncement {
  readonly callerAddress: string;
  /** Serves the `ProcessUsage` of the entry VM over HTTP. */
  readonly usageAddress: string;
  readonly token: string;
  readonly workspace: string;
  readonly service: string;
}

export interface ProcessUsage {
  /** Processor time since the start of the process. */
  readonly processorMs: number;
  readonly residentBytes: number;
}

/** Writes the file atomically: a reader sees either all of it or no file. */
export function writeAnnouncement(file: string, content: object): void {
  writeFileSync(`${file}.part`, JSON.stringify(content));
  renameSync(`${file}.part`, file);
}

export function readAnnouncement<Content>(file: string): Content {
  return JSON.parse(readFileSync(file, 'utf8')) as Content;
}
