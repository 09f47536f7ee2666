package io.mothrill.daemon.cli;

/** A command of the command line; args4j sets its fields. */
public interface Command {

  /** The exit code of a successful command. */
  int OK = 0;

  /** The exit code of a failed command. */
  int FAILED = 1;

  /** The exit code of a command whose input or arguments were rejected. */
  int REFUSED = 2;

  /**
   * Runs the command.
   *
   * @return the exit code
   * @throws Exception when the command fails; its message is printed
   */
  int run() throws Exception;
}
