import type {Configuration, Drain} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {type Either, Left, Right} from 'purify-ts';
import type {Errors} from '../../core/dependencies.js';

export function findDrain(
  configuration: Configuration,
  id: string,
): Either<Errors, Drain> {
  const found = configuration.drains.find(drain => drain.id === id);
  if (found) {
    return Right(found);
  }
  const what = `drain ${id}`;
  return Left([
    createOperatorError('NotFound', {what, where: 'the configuration'}),
  ]);
}
